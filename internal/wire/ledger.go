package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// The records of the ledger. Amounts stand in lists, in the order of
// ledger.Use.Numbers: what a later version puts behind is skipped.

func appendCells(b []byte, cells []ledger.Cell) []byte {
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

func readCells(b []byte, to *[]ledger.Cell) ([]byte, bool, error) {
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

// AppendOpenPage writes the record of a team's account.
func AppendOpenPage(b []byte, o *ledger.Open) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendStr(b, "team", o.Team)
	b = appendUint(b, "n", o.Number)
	b = appendUint(b, "settled", o.Settled)
	b = appendUint(b, "token", o.Token)
	b = appendUint(b, "from", uint64(o.From.Unix()))
	b = appendUint(b, "at", uint64(o.At.UnixMilli()))
	b = appendCells(b, o.Cells)
	b = appendStr(b, "prev", o.Prev)
	return appendUint(b, "decayed", o.Decayed)
}

// DecodeOpenPage reads the record of a team's account.
func DecodeOpenPage(b []byte) (ledger.Open, error) {
	var o ledger.Open
	var from, at uint64
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "team":
			return readStr(b, &o.Team)
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
			return readCells(b, &o.Cells)
		case "prev":
			return readStr(b, &o.Prev)
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

// AppendPage writes the record of a closed page.
func AppendPage(b []byte, p *ledger.Page) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendStr(b, "team", p.Team)
	b = appendUint(b, "first", p.First)
	b = appendUint(b, "last", p.Last)
	b = appendUint(b, "unit", uint64(p.Unit))
	b = appendUint(b, "from", uint64(p.From.Unix()))
	b = appendCells(b, p.Cells)
	b = appendStr(b, "prev", p.Prev)
	b = appendStr(b, "head", p.Head)
	return appendStr(b, "sum", p.Sum)
}

// DecodeClosedPage reads the record of a closed page.
func DecodeClosedPage(b []byte) (ledger.Page, error) {
	var p ledger.Page
	var unit, from uint64
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "team":
			return readStr(b, &p.Team)
		case "first":
			return readUint(b, &p.First)
		case "last":
			return readUint(b, &p.Last)
		case "unit":
			return readUint(b, &unit)
		case "from":
			return readUint(b, &from)
		case "use":
			return readCells(b, &p.Cells)
		case "prev":
			return readStr(b, &p.Prev)
		case "head":
			return readStr(b, &p.Head)
		case "sum":
			return readStr(b, &p.Sum)
		}
		return b, false, nil
	})
	p.Unit, p.From = ledger.Unit(unit), time.Unix(int64(from), 0).UTC()
	if err == nil && (p.First == 0 || p.Unit < ledger.Hour || p.Unit > ledger.Month || p.Sum == "") {
		err = errors.New("not a page of the ledger")
	}
	return p, err
}

// AppendStretch writes the record of a stretch of time that is not accounted.
func AppendStretch(b []byte, s ledger.Stretch) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 4), "from", uint64(s.From.UnixMilli()))
	b = appendUint(b, "to", uint64(s.To.UnixMilli()))
	b = appendUint(b, "token", s.Token)
	return appendUint(b, "without", s.Without)
}

// DecodeStretch reads the record of a stretch of time that is not accounted.
func DecodeStretch(b []byte) (s ledger.Stretch, err error) {
	var from, to uint64
	err = whole(b, func(key string, b []byte) ([]byte, bool, error) {
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
