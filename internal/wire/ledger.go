package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// The records of the ledger. Amounts stand in lists, in the order of
// ledger.Use.Numbers: what a later version puts behind is skipped.

func appendUsage(b []byte, cells []ledger.ClassUsage) []byte {
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

func readUsage(b []byte, to *[]ledger.ClassUsage) ([]byte, bool, error) {
	rest, err := eachField(b, func(class string, b []byte) ([]byte, bool, error) {
		var list []uint64
		rest, err := eachItem(b, func(b []byte) ([]byte, error) {
			var n uint64
			rest, _, err := readUint(b, &n)
			list = append(list, n)
			return rest, err
		})
		*to = ledger.AddUsage(*to, class, ledger.FromNumbers(list))
		return rest, true, err
	})
	return rest, true, err
}

// AppendOpenSegment writes the record of a team's account.
func AppendOpenSegment(b []byte, o *ledger.OpenSegment) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, "team", o.Team)
	b = appendUint(b, "n", o.Number)
	b = appendUint(b, "settled", o.Settlements)
	b = appendUint(b, "token", o.FencingToken)
	b = appendUint(b, "from", uint64(o.Start.Unix()))
	b = appendUint(b, "at", uint64(o.SettledAt.UnixMilli()))
	b = appendUsage(b, o.Usage)
	b = appendString(b, "prev", o.Prev)
	return appendUint(b, "decayed", o.DecayedUsage)
}

// DecodeOpenSegment reads the record of a team's account.
func DecodeOpenSegment(b []byte) (ledger.OpenSegment, error) {
	var o ledger.OpenSegment
	var from, at uint64
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "team":
			return readString(b, &o.Team)
		case "n":
			return readUint(b, &o.Number)
		case "settled":
			return readUint(b, &o.Settlements)
		case "token":
			return readUint(b, &o.FencingToken)
		case "from":
			return readUint(b, &from)
		case "at":
			return readUint(b, &at)
		case "use":
			return readUsage(b, &o.Usage)
		case "prev":
			return readString(b, &o.Prev)
		case "decayed":
			return readUint(b, &o.DecayedUsage)
		}
		return b, false, nil
	})
	if err == nil && (o.Number == 0 || o.Settlements == 0) {
		err = errors.New("not a team's account")
	}
	o.Start, o.SettledAt = time.Unix(int64(from), 0).UTC(), time.UnixMilli(int64(at)).UTC()
	return o, err
}

// AppendSegment writes the record of a closed page.
func AppendSegment(b []byte, p *ledger.Segment) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, "team", p.Team)
	b = appendUint(b, "first", p.First)
	b = appendUint(b, "last", p.Last)
	b = appendUint(b, "unit", uint64(p.Unit))
	b = appendUint(b, "from", uint64(p.Start.Unix()))
	b = appendUsage(b, p.Usage)
	b = appendString(b, "prev", p.Prev)
	b = appendString(b, "head", p.Head)
	return appendString(b, "sum", p.Sum)
}

// DecodeSegment reads the record of a closed page.
func DecodeSegment(b []byte) (ledger.Segment, error) {
	var p ledger.Segment
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
			return readUsage(b, &p.Usage)
		case "prev":
			return readString(b, &p.Prev)
		case "head":
			return readString(b, &p.Head)
		case "sum":
			return readString(b, &p.Sum)
		}
		return b, false, nil
	})
	p.Unit, p.Start = ledger.Unit(unit), time.Unix(int64(from), 0).UTC()
	if err == nil && (p.First == 0 || p.Unit < ledger.Hour || p.Unit > ledger.Month || p.Sum == "") {
		err = errors.New("not a page of the ledger")
	}
	return p, err
}

// AppendUnaccountedInterval writes the record of a stretch of time that is not accounted.
func AppendUnaccountedInterval(b []byte, s ledger.Interval) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 4), "from", uint64(s.Start.UnixMilli()))
	b = appendUint(b, "to", uint64(s.End.UnixMilli()))
	b = appendUint(b, "token", s.FencingToken)
	return appendUint(b, "without", s.UnsettledLeaders)
}

// DecodeUnaccountedInterval reads the record of a stretch of time that is not accounted.
func DecodeUnaccountedInterval(b []byte) (s ledger.Interval, err error) {
	var from, to uint64
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "from":
			return readUint(b, &from)
		case "to":
			return readUint(b, &to)
		case "token":
			return readUint(b, &s.FencingToken)
		case "without":
			return readUint(b, &s.UnsettledLeaders)
		}
		return b, false, nil
	})
	s.Start, s.End = time.UnixMilli(int64(from)).UTC(), time.UnixMilli(int64(to)).UTC()
	return s, err
}
