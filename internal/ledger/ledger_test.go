package ledger

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain draws the same cases every time, unless a flag gives another seed.
func TestMain(m *testing.M) {
	flags := map[string]string{"rapid.seed": "20260301", "rapid.checks": "400", "rapid.nofailfile": "true"}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newSettings(maxRecordBytes int) Settings {
	return Settings{
		SettleInterval: 10 * time.Second,
		HalfLife:       time.Hour,
		Weights:        Weights{GPU: 8},
		MaxRecordBytes: maxRecordBytes,
		Retention:      Retention{Hours: 24 * time.Hour, Days: 72 * time.Hour},
		Seal:           NewSeal([]byte("a secret of the operators")),
	}
}

// fakeStore stands in for the state service: it holds one team's account and its closed segments, and carries a
// settlement out if its condition holds.
type fakeStore struct {
	account      StoredAccount
	segments     []StoredSegment
	revision     uint64
	fencingToken uint64
}

// commit carries a settlement out, and reports whether its condition held.
func (f *fakeStore) commit(s *Settlement, fencingToken uint64) bool {
	if fencingToken != f.fencingToken || s.Version != f.account.Version {
		return false
	}
	f.revision++
	f.account = StoredAccount{Open: s.Open, Version: f.revision}
	if s.Closed != nil {
		f.segments = append(f.segments, StoredSegment{Segment: *s.Closed, Version: f.revision})
	}
	return true
}

// total is all usage on record.
func (f *fakeStore) total() Usage {
	usage := Total(f.account.Open.Usage)
	for _, segment := range f.segments {
		usage.Add(Total(segment.Usage))
	}
	return usage
}

// verify checks the chain of segments.
func (f *fakeStore) verify(seal *Seal) error {
	var segments []Segment
	for _, stored := range f.segments {
		segments = append(segments, stored.Segment)
	}
	last, link, err := seal.Verify(segments, 0, "")
	if err == nil && f.account.Version > 0 {
		err = f.account.Open.VerifyOpen(last, link)
	}
	return err
}

// sentSettlement is a copy of a settlement on its way to the state service.
type sentSettlement struct {
	settlement   *Settlement
	fencingToken uint64
}

// id identifies the settlement, however often it is sent.
func (s sentSettlement) id() string {
	return fmt.Sprint(s.fencingToken, "/", s.settlement.Open.Settlements)
}

// ledgerMachine plays leaders that keep the account of team red, one after the other, over one fakeStore.
type ledgerMachine struct {
	settings Settings
	store    *fakeStore
	accounts *Accounts
	now, day time.Time
	copies   []sentSettlement
	charges  map[string]Usage // of the settlements, by id
	recorded Usage            // that has to be on record
	charged  Usage            // by this leader, since the settlement that is pending
}

// takeOver replaces the leader: what was charged and not settled is lost.
func (m *ledgerMachine) takeOver(*rapid.T) {
	m.store.fencingToken++
	var records []StoredAccount
	if m.store.account.Version > 0 {
		records = append(records, m.store.account)
	}
	m.accounts, m.charged = NewAccounts(m.now, m.settings, m.store.fencingToken, records), Usage{}
}

// commit delivers a copy of a settlement to the store.
func (m *ledgerMachine) commit(c sentSettlement) bool {
	if !m.store.commit(c.settlement, c.fencingToken) {
		return false
	}
	m.recorded.Add(m.charges[c.id()])
	return true
}

func (m *ledgerMachine) send(s *Settlement) sentSettlement {
	sent := sentSettlement{settlement: s, fencingToken: m.store.fencingToken}
	m.copies = append(m.copies, sent)
	return sent
}

// drawCopy draws one of the copies that were sent, delivered before or not.
func (m *ledgerMachine) drawCopy(t *rapid.T) sentSettlement {
	if len(m.copies) == 0 {
		t.Skip()
	}
	return m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(t, "which")]
}

func (m *ledgerMachine) charge(t *rapid.T) {
	usage := Usage{
		CPU:    rapid.Uint64Range(1, 1e12).Draw(t, "cpu"),
		GPU:    rapid.Uint64Range(0, 1e9).Draw(t, "gpu"),
		Starts: 1,
	}
	usage.Wait[WaitQuota] = rapid.Uint64Range(0, 1e9).Draw(t, "wait")
	m.accounts.Charge(m.now, "red", rapid.StringMatching(`[a-z<é]{1,30}`).Draw(t, "class"), usage)
	m.charged.Add(usage)
}

func (m *ledgerMachine) settle(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "s")) * time.Second)
	s := m.accounts.Settle(m.now, m.day, "red")
	if s == nil {
		return
	}
	// Job classes that the segment has no room for are left for the next settlement.
	settled, left := Total(s.charges), Total(m.accounts.byTeam["red"].unsettled)
	all := settled
	if all.Add(left); all != m.charged {
		t.Fatalf("settled %+v and left %+v, want %+v together", settled, left, m.charged)
	}
	m.charged = left
	m.charges[m.send(s).id()] = settled
}

// answer delivers a copy; its sender learns of the outcome if it still leads.
func (m *ledgerMachine) answer(t *rapid.T) {
	sent := m.drawCopy(t)
	ok := m.commit(sent)
	a := m.accounts.byTeam["red"]
	if sent.fencingToken != m.store.fencingToken || a == nil || a.pending != sent.settlement {
		return
	}
	if ok {
		m.accounts.SettlementCompleted("red", m.store.account.Version)
		return
	}
	m.accounts.SettlementRefused(m.now, "red")
	for range m.accounts.Unreconciled() {
		if again, _ := m.accounts.Reconcile("red", m.store.account); again != nil {
			m.send(again)
		}
	}
}

// deliver delivers a copy late, or without an answer.
func (m *ledgerMachine) deliver(t *rapid.T) { m.commit(m.drawCopy(t)) }

func (m *ledgerMachine) jumpClock(t *rapid.T) {
	m.day = m.day.Add(time.Duration(rapid.IntRange(-40, 60).Draw(t, "h")) * time.Hour)
}

func (m *ledgerMachine) fold(t *rapid.T) {
	folded, first, n := Fold(&m.settings, m.store.segments, m.day, rapid.IntRange(2, 12).Draw(t, "most"))
	if n > 0 {
		replacement := StoredSegment{Segment: *folded, Version: m.store.revision}
		m.store.segments = slices.Replace(m.store.segments, first, first+n, replacement)
	}
}

func (m *ledgerMachine) check(t *rapid.T) {
	if got := m.store.total(); got != m.recorded {
		t.Fatalf("%+v on record, want %+v", got, m.recorded)
	}
	if err := m.store.verify(m.settings.Seal); err != nil {
		t.Fatalf("chain of segments: got %v, want no error", err)
	}
	usage := m.store.account.Open.Usage
	if size := RecordSize("red", usage); size > m.settings.MaxRecordBytes && len(usage) > 1 {
		t.Fatalf("record of %d bytes, want at most %d", size, m.settings.MaxRecordBytes)
	}
}

// Whatever the order of charges, settlements, copies that are lost, late or doubled, missing answers, failovers, clocks
// that jump and folds: what is on record is what was charged up to the last settlement that was carried out, and the
// segments are chained.
func TestRecordsHoldSettledUsageInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerMachine{
			settings: newSettings(rapid.IntRange(700, 2000).Draw(t, "most")),
			store:    &fakeStore{},
			now:      noon,
			day:      noon,
			charges:  map[string]Usage{},
		}
		m.takeOver(nil)
		t.Repeat(map[string]func(*rapid.T){
			"charge":              m.charge,
			"settle":              m.settle,
			"answered":            m.answer,
			"unanswered, or late": m.deliver,
			"takeover":            m.takeOver,
			"clock jumps":         m.jumpClock,
			"fold":                m.fold,
			"":                    m.check,
		})
	})
}

func TestVerifyReportsChangedAndMissingSegments(t *testing.T) {
	settings := newSettings(2000)
	accounts := NewAccounts(noon, settings, 1, nil)
	store := &fakeStore{fencingToken: 1}
	now := noon
	for hour := range 6 {
		accounts.Charge(now, "red", "work", Usage{CPU: uint64(hour + 1)})
		s := accounts.Settle(now, now, "red")
		if !store.commit(s, 1) {
			t.Fatalf("settlement %d was not carried out, want that it is", hour)
		}
		accounts.SettlementCompleted("red", store.account.Version)
		now = now.Add(time.Hour)
	}
	if err := store.verify(settings.Seal); err != nil || len(store.segments) != 5 {
		t.Fatalf("%d segments and %v, want 5 and no error", len(store.segments), err)
	}
	for _, c := range []struct {
		name   string
		want   error
		change func(f *fakeStore, seal **Seal)
	}{
		{"another amount", ErrChanged, func(f *fakeStore, _ **Seal) {
			f.segments[2].Usage = []ClassUsage{{Class: "work", Usage: Usage{CPU: 99}}}
		}},
		{"a segment is missing", ErrGap, func(f *fakeStore, _ **Seal) {
			f.segments = slices.Delete(f.segments, 2, 3)
		}},
		{"the last segment is missing", ErrGap, func(f *fakeStore, _ **Seal) {
			f.segments = f.segments[:4]
		}},
		{"a segment is replaced without the key", ErrChanged, func(f *fakeStore, _ **Seal) {
			f.segments[4].Usage = nil
			f.segments[4].Sum = NewSeal(nil).Sum(&f.segments[4].Segment)
		}},
		{"another key", ErrChanged, func(_ *fakeStore, seal **Seal) {
			*seal = NewSeal([]byte("some other secret"))
		}},
	} {
		changed, seal := *store, settings.Seal
		changed.segments = slices.Clone(store.segments)
		c.change(&changed, &seal)
		if err := changed.verify(seal); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// cpuHours is the usage of a number of CPU-hours.
func cpuHours(n uint64) Usage { return Usage{CPU: n * 3600 * 1_000_000} }

func TestFairShareDecaysAndSavesNothingUp(t *testing.T) {
	accounts := NewAccounts(noon, newSettings(2000), 1, nil)
	weights := map[string]float64{"red": 1, "blue": 1, "new": 2}
	sharesAt := func(now time.Time) map[string]FairShare {
		byTeam := map[string]FairShare{}
		decayedUsage := func(team string) uint64 { return accounts.DecayedUsage(now, team) }
		for _, share := range FairShares(weights, decayedUsage) {
			byTeam[share.Team] = share
		}
		return byTeam
	}
	accounts.Charge(noon, "red", "work", cpuHours(300))
	s := accounts.Settle(noon, noon, "red")
	accounts.SettlementCompleted("red", 1)
	if got, want := s.Open.DecayedUsage, cpuHours(300).CPU; got != want {
		t.Fatalf("decayed usage is %d, want %d", got, want)
	}
	shares := sharesAt(noon)
	if red := shares["red"]; red.Band == 0 || red.Rank != 3 || red.Factor >= 0.5 {
		t.Errorf("a team that has used everything: got %+v, want a band above 0, rank 3, a factor below 1/2", red)
	}
	// Blue was idle for weeks; it ranks like a team that never ran anything.
	if blue, never := shares["blue"], shares["new"]; blue.Factor != 1 || never.Factor != 1 || blue.Rank != never.Rank {
		t.Errorf("idle %+v, never ran %+v; want the factor 1 and the same rank", blue, never)
	}
	if got, want := accounts.DecayedUsage(noon.Add(time.Hour), "red"), cpuHours(150).CPU; got != want {
		t.Errorf("decayed usage after a half-life is %d, want %d", got, want)
	}
	// Blue works at an eighth of the pace: red is back within its share by the half-life.
	accounts.Charge(noon, "blue", "work", cpuHours(40))
	back := time.Duration(0)
	for sharesAt(noon.Add(back))["red"].Band > 0 && back < 24*time.Hour {
		back += 10 * time.Minute
		accounts.Charge(noon.Add(back), "blue", "work", cpuHours(10))
		accounts.Charge(noon.Add(back), "new", "work", cpuHours(20))
	}
	if back == 0 || back > 4*time.Hour {
		t.Errorf("back within its share after %v with a half-life of an hour, want up to four hours", back)
	}
	// Only the monotonic clock counts: a jump of the time of day by hours decays nothing.
	before := accounts.DecayedUsage(noon, "red")
	accounts.Charge(noon, "red", "work", Usage{CPU: 1})
	if s := accounts.Settle(noon, noon.Add(9*time.Hour), "red"); s.Open.DecayedUsage != before+1 {
		t.Errorf("decayed usage after a jump of the time of day is %d, want %d", s.Open.DecayedUsage, before+1)
	}
}
