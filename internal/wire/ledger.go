package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// appendUsage appends usage by class. The amounts are lists in the order of
// ledger.Usage.Numbers, so that a later version can append some.
func appendUsage(b []byte, usage []ledger.ClassUsage) []byte {
	b = msgp.AppendMapHeader(msgp.AppendString(b, ledgerUsage), uint32(len(usage)))
	for _, u := range usage {
		numbers := u.Numbers()
		b = msgp.AppendArrayHeader(msgp.AppendString(b, u.Class), uint32(len(numbers)))
		for _, n := range numbers {
			b = msgp.AppendUint64(b, n)
		}
	}
	return b
}

// readUsage adds usage by class to dst.
func readUsage(b []byte, dst *[]ledger.ClassUsage) ([]byte, bool, error) {
	rest, err := eachField(b, func(class string, b []byte) ([]byte, bool, error) {
		var numbers []uint64
		rest, err := eachItem(b, func(b []byte) ([]byte, error) {
			var n uint64
			rest, _, err := readUint(b, &n)
			numbers = append(numbers, n)
			return rest, err
		})
		*dst = ledger.AddUsage(*dst, class, ledger.FromNumbers(numbers))
		return rest, true, err
	})
	return rest, true, err
}

// AppendOpenSegment appends the record of a team's account: its open segment.
func AppendOpenSegment(b []byte, s *ledger.OpenSegment) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, ledgerTeam, s.Team)
	b = appendUint(b, ledgerNumber, s.Number)
	b = appendUint(b, ledgerSettlements, s.Settlements)
	b = appendUint(b, ledgerFencingToken, s.FencingToken)
	b = appendUint(b, ledgerStart, uint64(s.Start.Unix()))
	b = appendUint(b, ledgerSettledAt, uint64(s.SettledAt.UnixMilli()))
	b = appendUsage(b, s.Usage)
	b = appendString(b, ledgerPrev, s.Prev)
	return appendUint(b, ledgerDecayedUsage, s.DecayedUsage)
}

// DecodeOpenSegment reads the record of a team's account.
func DecodeOpenSegment(b []byte) (ledger.OpenSegment, error) {
	var s ledger.OpenSegment
	var start, settledAt uint64
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case ledgerTeam:
			return readString(b, &s.Team)
		case ledgerNumber:
			return readUint(b, &s.Number)
		case ledgerSettlements:
			return readUint(b, &s.Settlements)
		case ledgerFencingToken:
			return readUint(b, &s.FencingToken)
		case ledgerStart:
			return readUint(b, &start)
		case ledgerSettledAt:
			return readUint(b, &settledAt)
		case ledgerUsage:
			return readUsage(b, &s.Usage)
		case ledgerPrev:
			return readString(b, &s.Prev)
		case ledgerDecayedUsage:
			return readUint(b, &s.DecayedUsage)
		}
		return b, false, nil
	})
	if err == nil && (s.Number == 0 || s.Settlements == 0) {
		err = errors.New("not a team's account")
	}
	s.Start = time.Unix(int64(start), 0).UTC()
	s.SettledAt = time.UnixMilli(int64(settledAt)).UTC()
	return s, err
}

// AppendSegment appends the record of a closed segment.
func AppendSegment(b []byte, s *ledger.Segment) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, ledgerTeam, s.Team)
	b = appendUint(b, ledgerFirst, s.First)
	b = appendUint(b, ledgerLast, s.Last)
	b = appendUint(b, ledgerUnit, uint64(s.Unit))
	b = appendUint(b, ledgerStart, uint64(s.Start.Unix()))
	b = appendUsage(b, s.Usage)
	b = appendString(b, ledgerPrev, s.Prev)
	b = appendString(b, ledgerHead, s.Head)
	return appendString(b, ledgerSum, s.Sum)
}

// DecodeSegment reads the record of a closed segment.
func DecodeSegment(b []byte) (ledger.Segment, error) {
	var s ledger.Segment
	var unit, start uint64
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case ledgerTeam:
			return readString(b, &s.Team)
		case ledgerFirst:
			return readUint(b, &s.First)
		case ledgerLast:
			return readUint(b, &s.Last)
		case ledgerUnit:
			return readUint(b, &unit)
		case ledgerStart:
			return readUint(b, &start)
		case ledgerUsage:
			return readUsage(b, &s.Usage)
		case ledgerPrev:
			return readString(b, &s.Prev)
		case ledgerHead:
			return readString(b, &s.Head)
		case ledgerSum:
			return readString(b, &s.Sum)
		}
		return b, false, nil
	})
	s.Unit = ledger.Unit(unit)
	s.Start = time.Unix(int64(start), 0).UTC()
	if err == nil && (s.First == 0 || s.Unit < ledger.Hour || s.Unit > ledger.Month || s.Sum == "") {
		err = errors.New("not a page of the ledger")
	}
	return s, err
}

// AppendUnaccountedInterval appends the record of an interval without accounting.
func AppendUnaccountedInterval(b []byte, i ledger.Interval) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendUint(b, ledgerStart, uint64(i.Start.UnixMilli()))
	b = appendUint(b, ledgerEnd, uint64(i.End.UnixMilli()))
	b = appendUint(b, ledgerFencingToken, i.FencingToken)
	return appendUint(b, ledgerUnsettledLeaders, i.UnsettledLeaders)
}

// DecodeUnaccountedInterval reads the record of an interval without accounting.
func DecodeUnaccountedInterval(b []byte) (i ledger.Interval, err error) {
	var start, end uint64
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case ledgerStart:
			return readUint(b, &start)
		case ledgerEnd:
			return readUint(b, &end)
		case ledgerFencingToken:
			return readUint(b, &i.FencingToken)
		case ledgerUnsettledLeaders:
			return readUint(b, &i.UnsettledLeaders)
		}
		return b, false, nil
	})
	i.Start = time.UnixMilli(int64(start)).UTC()
	i.End = time.UnixMilli(int64(end)).UTC()
	return i, err
}
