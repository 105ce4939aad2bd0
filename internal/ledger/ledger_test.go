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

// TestMain sets defaults for the flags of rapid, so that each run draws the same cases unless a flag sets another
// seed.
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
		Hasher:         NewSegmentHasher([]byte("a secret of the operators")),
	}
}

// fakeStore is a fake of the state service. It holds one team's account and closed segments, and commits a settlement
// if the settlement's condition holds.
type fakeStore struct {
	account      StoredAccount
	segments     []StoredSegment
	revision     uint64
	fencingToken uint64
}

// commit applies a settlement if its condition holds, and reports whether it was applied.
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

// recordedUsage returns the sum of all usage in the store.
func (f *fakeStore) recordedUsage() Usage {
	usage := TotalUsage(f.account.Open.Usage)
	for _, segment := range f.segments {
		usage.Add(TotalUsage(segment.Usage))
	}
	return usage
}

// verify checks the hash chain of the closed segments and the open one.
func (f *fakeStore) verify(hasher *SegmentHasher) error {
	var segments []Segment
	for _, stored := range f.segments {
		segments = append(segments, stored.Segment)
	}
	last, link, err := hasher.Verify(segments, 0, "")
	if err == nil && f.account.Version > 0 {
		err = f.account.Open.VerifyOpen(last, link)
	}
	return err
}

// sentSettlement is a settlement that a leader has sent to the state service. It may be delivered any number of
// times.
type sentSettlement struct {
	settlement   *Settlement
	fencingToken uint64
}

// id identifies the settlement. It is the same if the settlement is sent again.
func (s sentSettlement) id() string {
	return fmt.Sprint(s.fencingToken, "/", s.settlement.Open.Settlements)
}

// ledgerStateMachine simulates successive leaders that keep the account of team red in one fakeStore. Its methods
// with a *rapid.T parameter are the actions of a property test.
type ledgerStateMachine struct {
	settings       Settings
	store          *fakeStore
	accounts       *Accounts
	now, timeOfDay time.Time
	sent           []sentSettlement
	chargesByID    map[string]Usage // sum of each settlement's charges, by sentSettlement.id
	wantRecorded   Usage            // usage that the store must hold
	unsettled      Usage            // usage that the present leader has charged and not put into a settlement
}

// takeOver replaces the leader. Unsettled usage of the former leader is lost.
func (m *ledgerStateMachine) takeOver(*rapid.T) {
	m.store.fencingToken++
	var records []StoredAccount
	if m.store.account.Version > 0 {
		records = append(records, m.store.account)
	}
	m.accounts, m.unsettled = NewAccounts(m.now, m.settings, m.store.fencingToken, records), Usage{}
}

// deliver delivers a settlement to the store, and reports whether the store has applied it.
func (m *ledgerStateMachine) deliver(sent sentSettlement) bool {
	if !m.store.commit(sent.settlement, sent.fencingToken) {
		return false
	}
	m.wantRecorded.Add(m.chargesByID[sent.id()])
	return true
}

func (m *ledgerStateMachine) send(s *Settlement) sentSettlement {
	sent := sentSettlement{settlement: s, fencingToken: m.store.fencingToken}
	m.sent = append(m.sent, sent)
	return sent
}

// drawSent draws one of the settlements that were sent. It may have been delivered before.
func (m *ledgerStateMachine) drawSent(t *rapid.T) sentSettlement {
	if len(m.sent) == 0 {
		t.Skip()
	}
	return m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "which")]
}

func (m *ledgerStateMachine) charge(t *rapid.T) {
	usage := Usage{
		CPU:    rapid.Uint64Range(1, 1e12).Draw(t, "cpu"),
		GPU:    rapid.Uint64Range(0, 1e9).Draw(t, "gpu"),
		Starts: 1,
	}
	usage.Wait[WaitQuota] = rapid.Uint64Range(0, 1e9).Draw(t, "wait")
	m.accounts.Charge(m.now, "red", rapid.StringMatching(`[a-z<é]{1,30}`).Draw(t, "class"), usage)
	m.unsettled.Add(usage)
}

func (m *ledgerStateMachine) settle(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "seconds")) * time.Second)
	settlement := m.accounts.Settle(m.now, m.timeOfDay, "red")
	if settlement == nil {
		return
	}
	// Charges of job classes for which the segment has no room are left for the next settlement.
	settled, left := TotalUsage(settlement.charges), TotalUsage(m.accounts.byTeam["red"].unsettled)
	all := settled
	if all.Add(left); all != m.unsettled {
		t.Fatalf("settled %+v and left %+v, want %+v together", settled, left, m.unsettled)
	}
	m.unsettled = left
	m.chargesByID[m.send(settlement).id()] = settled
}

// deliverWithAnswer delivers a settlement and reports the outcome to its sender, if that is still the leader.
func (m *ledgerStateMachine) deliverWithAnswer(t *rapid.T) {
	sent := m.drawSent(t)
	ok := m.deliver(sent)
	account := m.accounts.byTeam["red"]
	if sent.fencingToken != m.store.fencingToken || account == nil || account.pending != sent.settlement {
		return
	}
	if ok {
		m.accounts.SettlementCompleted("red", m.store.account.Version)
		return
	}
	m.accounts.SettlementRefused(m.now, "red")
	for range m.accounts.UnreconciledTeams() {
		if resend, _ := m.accounts.Reconcile("red", m.store.account); resend != nil {
			m.send(resend)
		}
	}
}

// deliverWithoutAnswer delivers a settlement late, again, or with the answer lost.
func (m *ledgerStateMachine) deliverWithoutAnswer(t *rapid.T) { m.deliver(m.drawSent(t)) }

func (m *ledgerStateMachine) jumpTimeOfDay(t *rapid.T) {
	m.timeOfDay = m.timeOfDay.Add(time.Duration(rapid.IntRange(-40, 60).Draw(t, "hours")) * time.Hour)
}

func (m *ledgerStateMachine) compact(t *rapid.T) {
	compacted, first, count := Compact(
		&m.settings, m.store.segments, m.timeOfDay, rapid.IntRange(2, 12).Draw(t, "max count"))
	if count > 0 {
		replacement := StoredSegment{Segment: *compacted, Version: m.store.revision}
		m.store.segments = slices.Replace(m.store.segments, first, first+count, replacement)
	}
}

func (m *ledgerStateMachine) check(t *rapid.T) {
	if got := m.store.recordedUsage(); got != m.wantRecorded {
		t.Fatalf("recorded usage: got %+v, want %+v", got, m.wantRecorded)
	}
	if err := m.store.verify(m.settings.Hasher); err != nil {
		t.Fatalf("verification of the hash chain: got %v, want no error", err)
	}
	usage := m.store.account.Open.Usage
	if size := RecordSizeBound("red", usage); size > m.settings.MaxRecordBytes && len(usage) > 1 {
		t.Fatalf("record size: got up to %d bytes, want at most %d", size, m.settings.MaxRecordBytes)
	}
}

// The store holds exactly the charges of all settlements that it has applied, and the hash chain is intact, after any
// sequence of charges, settlements, lost, late or duplicate deliveries, missing answers, failovers, jumps of the time
// of day and compactions.
func TestRecordsHoldSettledUsageInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerStateMachine{
			settings:    newSettings(rapid.IntRange(700, 2000).Draw(t, "max record bytes")),
			store:       &fakeStore{},
			now:         noon,
			timeOfDay:   noon,
			chargesByID: map[string]Usage{},
		}
		m.takeOver(nil)
		t.Repeat(map[string]func(*rapid.T){
			"charge":              m.charge,
			"settle":              m.settle,
			"answered":            m.deliverWithAnswer,
			"unanswered, or late": m.deliverWithoutAnswer,
			"takeover":            m.takeOver,
			"clock jumps":         m.jumpTimeOfDay,
			"compact":             m.compact,
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
		settlement := accounts.Settle(now, now, "red")
		if !store.commit(settlement, 1) {
			t.Fatalf("settlement %d was not applied, want it applied", hour)
		}
		accounts.SettlementCompleted("red", store.account.Version)
		now = now.Add(time.Hour)
	}
	if err := store.verify(settings.Hasher); err != nil || len(store.segments) != 5 {
		t.Fatalf("verification: got %d segments and error %v, want 5 and none", len(store.segments), err)
	}
	for _, c := range []struct {
		name   string
		want   error
		change func(f *fakeStore, hasher **SegmentHasher)
	}{
		{"the usage of a segment is changed", ErrChanged, func(f *fakeStore, _ **SegmentHasher) {
			f.segments[2].Usage = []ClassUsage{{Class: "work", Usage: Usage{CPU: 99}}}
		}},
		{"a segment is missing", ErrGap, func(f *fakeStore, _ **SegmentHasher) {
			f.segments = slices.Delete(f.segments, 2, 3)
		}},
		{"the last segment is missing", ErrGap, func(f *fakeStore, _ **SegmentHasher) {
			f.segments = f.segments[:4]
		}},
		{"a segment is replaced without the key", ErrChanged, func(f *fakeStore, _ **SegmentHasher) {
			f.segments[4].Usage = nil
			f.segments[4].Hash = NewSegmentHasher(nil).Hash(&f.segments[4].Segment)
		}},
		{"verification with another key", ErrChanged, func(_ *fakeStore, hasher **SegmentHasher) {
			*hasher = NewSegmentHasher([]byte("some other secret"))
		}},
	} {
		changed, hasher := *store, settings.Hasher
		changed.segments = slices.Clone(store.segments)
		c.change(&changed, &hasher)
		if err := changed.verify(hasher); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// cpuHours returns the usage of n CPU-hours.
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
	settlement := accounts.Settle(noon, noon, "red")
	accounts.SettlementCompleted("red", 1)
	if got, want := settlement.Open.DecayedUsage, cpuHours(300).CPU; got != want {
		t.Fatalf("decayed usage: got %d, want %d", got, want)
	}
	shares := sharesAt(noon)
	if red := shares["red"]; red.Band == 0 || red.Rank != 3 || red.Factor >= 0.5 {
		t.Errorf("team with all of the usage: got %+v, want a band above 0, rank 3 and a factor below 1/2", red)
	}
	// Teams without usage have the same factor and rank whatever their weights: unused shares do not accumulate.
	if blue, other := shares["blue"], shares["new"]; blue.Factor != 1 || other.Factor != 1 || blue.Rank != other.Rank {
		t.Errorf("teams without usage: got %+v and %+v, want factor 1 and the same rank", blue, other)
	}
	if got, want := accounts.DecayedUsage(noon.Add(time.Hour), "red"), cpuHours(150).CPU; got != want {
		t.Errorf("decayed usage after one half-life: got %d, want %d", got, want)
	}
	// While red is idle, the others use 60 and 120 CPU-hours per hour. Red's usage halves every hour, so red soon
	// returns to its share.
	accounts.Charge(noon, "blue", "work", cpuHours(40))
	elapsed := time.Duration(0)
	for sharesAt(noon.Add(elapsed))["red"].Band > 0 && elapsed < 24*time.Hour {
		elapsed += 10 * time.Minute
		accounts.Charge(noon.Add(elapsed), "blue", "work", cpuHours(10))
		accounts.Charge(noon.Add(elapsed), "new", "work", cpuHours(20))
	}
	if elapsed == 0 || elapsed > 4*time.Hour {
		t.Errorf("time until red is within its share: got %v, want more than 0 and at most 4h (4 half-lives)", elapsed)
	}
	// Usage decays by the monotonic clock: a jump of the time of day by 9 hours does not change it.
	before := accounts.DecayedUsage(noon, "red")
	accounts.Charge(noon, "red", "work", Usage{CPU: 1})
	if s := accounts.Settle(noon, noon.Add(9*time.Hour), "red"); s.Open.DecayedUsage != before+1 {
		t.Errorf("decayed usage after a jump of the time of day: got %d, want %d", s.Open.DecayedUsage, before+1)
	}
}
