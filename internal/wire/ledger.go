package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// The records of the ledger. Amounts stand in lists, in the order of
// ledger.Use.Numbers: what a later version puts behind is skipped.

func appendUsage(b []byte, cells []ledger.Cell) []byte {
	b = msgp.AppendMapHeader(msgp.AppendString(b, "use"), uint32(len(cells)))
	for _, c := range cells {
		numbers := c.Numbers()
		b = msgp.AppendArrayHeader(msgp.AppendString(b, c.Class), uint32(len(numbers)))
		for _, n := range numbers {
			b = msgp.AppendUint64(b, n)
		}
	}
	return b
}

func readUsage(b []byte, to *[]ledger.Cell) ([]byte, bool, error) {
	rest, err := eachField(b, func(class string, b []byte) ([]byte, bool, error) {
		var list []uint64
		rest, err := eachItem(b, func(b []byte) ([]byte, error) {
			var n uint64
			rest, _, err := readUint(b, &n)
			list = append(list, n)
			return rest, err
		})
		*to = ledger.AddTo(*to, class, ledger.FromNumbers(list))
		return rest, true, err
	})
	return rest, true, err
}

// AppendOpenSegment writes the record of a team's account.
func AppendOpenSegment(b []byte, o *ledger.Open) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, "team", o.Team)
	b = appendUint(b, "n", o.Number)
	b = appendUint(b, "settled", o.Settled)
	b = appendUint(b, "token", o.Token)
	b = appendUint(b, "from", uint64(o.From.Unix()))
	b = appendUint(b, "at", uint64(o.At.UnixMilli()))
	b = appendUsage(b, o.Cells)
	b = appendString(b, "prev", o.Prev)
	return appendUint(b, "decayed", o.Decayed)
}

// DecodeOpenSegment reads the record of a team's account.
func DecodeOpenSegment(b []byte) (ledger.Open, error) {
	var o ledger.Open
	var from, at uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "team":
			return readString(b, &o.Team)
		case "n":
			return readUint(b, &o.Number)
		case "settled":
			return readUint(b, &o.Settled)
		case "token":
			return readUint(b, &o.Token)
		case "from":
			return readUint(b, &from)
		case "at":
			return readUint(b, &at)
		case "use":
			return readUsage(b, &o.Cells)
		case "prev":
			return readString(b, &o.Prev)
		case "decayed":
			return readUint(b, &o.Decayed)
		}
		return b, false, nil
	})
	if err == nil && (o.Number == 0 || o.Settled == 0) {
		err = errors.New("not a team's account")
	}
	o.From, o.At = time.Unix(int64(from), 0).UTC(), time.UnixMilli(int64(at)).UTC()
	return o, err
}

// AppendSegment writes the record of a closed page.
func AppendSegment(b []byte, p *ledger.Page) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, "team", p.Team)
	b = appendUint(b, "first", p.First)
	b = appendUint(b, "last", p.Last)
	b = appendUint(b, "unit", uint64(p.Unit))
	b = appendUint(b, "from", uint64(p.From.Unix()))
	b = appendUsage(b, p.Cells)
	b = appendString(b, "prev", p.Prev)
	b = appendString(b, "head", p.Head)
	return appendString(b, "sum", p.Sum)
}

// DecodeSegment reads the record of a closed page.
func DecodeSegment(b []byte) (ledger.Page, error) {
	var p ledger.Page
	var unit, from uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "team":
			return readString(b, &p.Team)
		case "first":
			return readUint(b, &p.First)
		case "last":
			return readUint(b, &p.Last)
		case "unit":
			return readUint(b, &unit)
		case "from":
			return readUint(b, &from)
		case "use":
			return readUsage(b, &p.Cells)
		case "prev":
			return readString(b, &p.Prev)
		case "head":
			return readString(b, &p.Head)
		case "sum":
			return readString(b, &p.Sum)
		}
		return b, false, nil
	})
	p.Unit, p.From = ledger.Unit(unit), time.Unix(int64(from), 0).UTC()
	if err == nil && (p.First == 0 || p.Unit < ledger.Hour || p.Unit > ledger.Month || p.Sum == "") {
		err = errors.New("not a page of the ledger")
	}
	return p, err
}

// AppendUnaccountedInterval writes the record of a stretch of time that is not accounted.
func AppendUnaccountedInterval(b []byte, s ledger.Stretch) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 4), "from", uint64(s.From.UnixMilli()))
	b = appendUint(b, "to", uint64(s.To.UnixMilli()))
	b = appendUint(b, "token", s.Token)
	return appendUint(b, "without", s.Without)
}

// DecodeUnaccountedInterval reads the record of a stretch of time that is not accounted.
func DecodeUnaccountedInterval(b []byte) (s ledger.Stretch, err error) {
	var from, to uint64
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "from":
			return readUint(b, &from)
		case "to":
			return readUint(b, &to)
		case "token":
			return readUint(b, &s.Token)
		case "without":
			return readUint(b, &s.Without)
		}
		return b, false, nil
	})
	s.From, s.To = time.UnixMilli(int64(from)).UTC(), time.UnixMilli(int64(to)).UTC()
	return s, err
}
