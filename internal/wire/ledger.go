package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/ledger"
)

// appendUsage appends usage by job class. The amounts of a class are an array in the order of ledger.Usage.Numbers, so
// that later versions can add amounts at the end.
func appendUsage(b []byte, usage []ledger.ClassUsage) []byte {
	b = msgp.AppendMapHeader(msgp.AppendString(b, ledgerUsage), uint32(len(usage)))
	for _, classUsage := range usage {
		amounts := classUsage.Numbers()
		b = msgp.AppendArrayHeader(msgp.AppendString(b, classUsage.Class), uint32(len(amounts)))
		for _, amount := range amounts {
			b = msgp.AppendUint64(b, amount)
		}
	}
	return b
}

// readUsage reads usage by job class and adds it to dst.
func readUsage(b []byte, dst *[]ledger.ClassUsage) ([]byte, bool, error) {
	rest, err := eachField(b, func(class string, b []byte) ([]byte, bool, error) {
		var amounts []uint64
		rest, err := eachItem(b, func(b []byte) ([]byte, error) {
			var amount uint64
			rest, _, err := readUint(b, &amount)
			amounts = append(amounts, amount)
			return rest, err
		})
		*dst = ledger.AddUsage(*dst, class, ledger.UsageFromNumbers(amounts))
		return rest, true, err
	})
	return rest, true, err
}

// AppendOpenSegment appends the record of a team's account, which is its open segment.
func AppendOpenSegment(b []byte, s *ledger.OpenSegment) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, ledgerTeam, s.Team)
	b = appendUint(b, ledgerNumber, s.Number)
	b = appendUint(b, ledgerSettlements, s.Settlements)
	b = appendUint(b, ledgerFencingToken, s.FencingToken)
	b = appendUint(b, ledgerStart, uint64(s.Start.Unix()))
	b = appendUint(b, ledgerSettledAt, uint64(s.SettledAt.UnixMilli()))
	b = appendUsage(b, s.Usage)
	b = appendString(b, ledgerPrev, s.PrevLink)
	return appendUint(b, ledgerDecayedUsage, s.DecayedUsage)
}

// DecodeOpenSegment decodes the record of a team's account. The times are in UTC.
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
			return readString(b, &s.PrevLink)
		case ledgerDecayedUsage:
			return readUint(b, &s.DecayedUsage)
		}
		return b, false, nil
	})
	if err == nil && (s.Number == 0 || s.Settlements == 0) {
		err = errors.New("account record has no segment number or no settlements")
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
	b = appendString(b, ledgerPrev, s.PrevLink)
	b = appendString(b, ledgerHead, s.LastMergedLink)
	return appendString(b, ledgerHash, s.Hash)
}

// DecodeSegment decodes the record of a closed segment. The start time is in UTC.
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
			return readString(b, &s.PrevLink)
		case ledgerHead:
			return readString(b, &s.LastMergedLink)
		case ledgerHash:
			return readString(b, &s.Hash)
		}
		return b, false, nil
	})
	s.Unit = ledger.Unit(unit)
	s.Start = time.Unix(int64(start), 0).UTC()
	if err == nil && (s.First == 0 || s.Unit < ledger.Hour || s.Unit > ledger.Month || s.Hash == "") {
		err = errors.New("ledger segment has no number, no hash or an unknown time unit")
	}
	return s, err
}

// AppendUnaccountedInterval appends the record of an interval whose usage no leader accounted for.
func AppendUnaccountedInterval(b []byte, interval ledger.UnaccountedInterval) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendUint(b, ledgerStart, uint64(interval.Start.UnixMilli()))
	b = appendUint(b, ledgerEnd, uint64(interval.End.UnixMilli()))
	b = appendUint(b, ledgerFencingToken, interval.FencingToken)
	return appendUint(b, ledgerUnsettledLeaders, interval.UnsettledLeaders)
}

// DecodeUnaccountedInterval decodes the record of an unaccounted interval. The times are in UTC.
func DecodeUnaccountedInterval(b []byte) (interval ledger.UnaccountedInterval, err error) {
	var start, end uint64
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case ledgerStart:
			return readUint(b, &start)
		case ledgerEnd:
			return readUint(b, &end)
		case ledgerFencingToken:
			return readUint(b, &interval.FencingToken)
		case ledgerUnsettledLeaders:
			return readUint(b, &interval.UnsettledLeaders)
		}
		return b, false, nil
	})
	interval.Start = time.UnixMilli(int64(start)).UTC()
	interval.End = time.UnixMilli(int64(end)).UTC()
	return interval, err
}
