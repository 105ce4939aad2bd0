package ledger

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same cases every time, unless another seed is asked for.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newSettings(most int) Settings {
	return Settings{SettleInterval: 10 * time.Second, HalfLife: time.Hour, Weights: Weights{GPU: 8}, MaxRecordBytes: most,
		Retention: Retention{Hours: 24 * time.Hour, Days: 72 * time.Hour}, Seal: NewSeal([]byte("a secret of the operators"))}
}

// fakeStore stand in for the state service: one team's account and its pages, and the
// condition under which a settlement is carried out.
type fakeStore struct {
	account      StoredAccount
	segments     []StoredSegment
	revision     uint64
	fencingToken uint64
}

func (r *fakeStore) commit(s *Settlement, token uint64) bool {
	if token != r.fencingToken || s.Version != r.account.Version {
		return false
	}
	r.revision++
	r.account = StoredAccount{Open: s.Open, Version: r.revision}
	if s.Closed != nil {
		r.segments = append(r.segments, StoredSegment{*s.Closed, r.revision})
	}
	return true
}

func (r *fakeStore) total() Usage {
	u := Total(r.account.Open.Usage)
	for _, p := range r.segments {
		u.Add(Total(p.Usage))
	}
	return u
}

func (r *fakeStore) verify(s *Seal) error {
	var pages []Segment
	for _, p := range r.segments {
		pages = append(pages, p.Segment)
	}
	last, link, err := s.Verify(pages, 0, "")
	if err == nil && r.account.Version > 0 {
		err = r.account.Open.VerifyOpen(last, link)
	}
	return err
}

// Whatever the order of charges, settlements, copies that are lost, late or doubled,
// answers that do not come, takeovers, clocks that jump and folds: what is on record is
// what was charged up to the last settlement that was carried out, and is chained.
func TestRecordsHoldSettledUsageInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newSettings(rapid.IntRange(700, 2000).Draw(t, "most"))
		rec := &fakeStore{}
		var book *Accounts
		var copies []struct {
			s     *Settlement
			token uint64
		}
		now, day := noon, noon
		var want, charged Usage // on record; and charged by this leader since the settlement that is on its way
		about := map[string]Usage{}
		name := func(s *Settlement, token uint64) string { return fmt.Sprint(token, "/", s.Open.Settlements) }
		takeOver := func(*rapid.T) {
			rec.fencingToken++
			var have []StoredAccount
			if rec.account.Version > 0 {
				have = append(have, rec.account)
			}
			book, charged = NewAccounts(now, set, rec.fencingToken, have), Usage{}
		}
		takeOver(nil)
		carry := func(s *Settlement, token uint64) bool {
			if !rec.commit(s, token) {
				return false
			}
			want.Add(about[name(s, token)])
			return true
		}
		send := func(s *Settlement) {
			copies = append(copies, struct {
				s     *Settlement
				token uint64
			}{s, rec.fencingToken})
		}
		doubt := func() {
			book.SettlementRefused(now, "red")
			for range book.Unreconciled() {
				if again, _ := book.Reconcile("red", rec.account); again != nil {
					send(again)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				u := Usage{CPU: rapid.Uint64Range(1, 1e12).Draw(t, "cpu"), GPU: rapid.Uint64Range(0, 1e9).Draw(t, "gpu"), Starts: 1}
				u.Wait[WaitQuota] = rapid.Uint64Range(0, 1e9).Draw(t, "wait")
				book.Charge(now, "red", rapid.StringMatching(`[a-z<é]{1,30}`).Draw(t, "class"), u)
				charged.Add(u)
			},
			"settle": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "s")) * time.Second)
				if s := book.Settle(now, day, "red"); s != nil {
					// Classes for which the page had no room are left for the next one.
					part, left := Total(s.charges), Total(book.byTeam["red"].unsettled)
					all := part
					if all.Add(left); all != charged {
						t.Fatalf("settled %+v and left %+v of %+v", part, left, charged)
					}
					about[name(s, rec.fencingToken)], charged = part, left
					send(s)
				}
			},
			"answered": func(t *rapid.T) {
				if len(copies) == 0 {
					t.Skip()
				}
				c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "which")]
				ok := carry(c.s, c.token)
				if a := book.byTeam["red"]; c.token == rec.fencingToken && a != nil && a.pending == c.s {
					if ok {
						book.SettlementCompleted("red", rec.account.Version)
					} else {
						doubt()
					}
				}
			},
			"unanswered, or late": func(t *rapid.T) {
				if len(copies) == 0 {
					t.Skip()
				}
				c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "which")]
				carry(c.s, c.token)
			},
			"takeover":    takeOver,
			"clock jumps": func(t *rapid.T) { day = day.Add(time.Duration(rapid.IntRange(-40, 60).Draw(t, "h")) * time.Hour) },
			"fold": func(t *rapid.T) {
				into, from, n := Fold(&set, rec.segments, day, rapid.IntRange(2, 12).Draw(t, "most"))
				if n > 0 {
					rec.segments = append(rec.segments[:from:from], append([]StoredSegment{{*into, rec.revision}}, rec.segments[from+n:]...)...)
				}
			},
			"": func(t *rapid.T) {
				if got := rec.total(); got != want {
					t.Fatalf("on record %+v, settled %+v", got, want)
				}
				if err := rec.verify(set.Seal); err != nil {
					t.Fatal(err)
				}
				if n := RecordSize("red", rec.account.Open.Usage); n > set.MaxRecordBytes && len(rec.account.Open.Usage) > 1 {
					t.Fatalf("a record of %d bytes", n)
				}
			},
		})
	})
}

func TestVerifyReportsChangedAndMissingSegments(t *testing.T) {
	set := newSettings(2000)
	b := NewAccounts(noon, set, 1, nil)
	rec := &fakeStore{fencingToken: 1}
	now := noon
	for hour := range 6 {
		b.Charge(now, "red", "work", Usage{CPU: uint64(hour + 1)})
		s := b.Settle(now, now, "red")
		if !rec.commit(s, 1) {
			t.Fatal("not carried out")
		}
		b.SettlementCompleted("red", rec.account.Version)
		now = now.Add(time.Hour)
	}
	if err := rec.verify(set.Seal); err != nil || len(rec.segments) != 5 {
		t.Fatalf("%d pages, %v", len(rec.segments), err)
	}
	broken := func(what string, want error, change func(r *fakeStore, s **Seal)) {
		r, s := *rec, set.Seal
		r.segments = append([]StoredSegment(nil), rec.segments...)
		change(&r, &s)
		if err := r.verify(s); !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	broken("an amount", ErrChanged, func(r *fakeStore, _ **Seal) { r.segments[2].Usage = []ClassUsage{{"work", Usage{CPU: 99}}} })
	broken("a page less", ErrGap, func(r *fakeStore, _ **Seal) { r.segments = append(r.segments[:2:2], r.segments[3:]...) })
	broken("the last page less", ErrGap, func(r *fakeStore, _ **Seal) { r.segments = r.segments[:4] })
	broken("a page made anew without the key", ErrChanged, func(r *fakeStore, _ **Seal) {
		r.segments[4].Usage = nil
		r.segments[4].Sum = NewSeal(nil).Sum(&r.segments[4].Segment)
	})
	broken("another key", ErrChanged, func(_ *fakeStore, s **Seal) { *s = NewSeal([]byte("some other secret")) })
}

func TestFairShareDecaysAndSavesNothingUp(t *testing.T) {
	b := NewAccounts(noon, newSettings(2000), 1, nil)
	weights := map[string]float64{"red": 1, "blue": 1, "new": 2}
	hours := func(n uint64) Usage { return Usage{CPU: n * 3600 * 1_000_000} }
	b.Charge(noon, "red", "work", hours(300))
	at := func(now time.Time) map[string]FairShare {
		out := map[string]FairShare{}
		for _, s := range FairShares(weights, func(team string) uint64 { return b.DecayedUsage(now, team) }) {
			out[s.Team] = s
		}
		return out
	}
	s := b.Settle(noon, noon, "red")
	b.SettlementCompleted("red", 1)
	if s.Open.DecayedUsage != hours(300).CPU {
		t.Fatalf("decayed use %d", s.Open.DecayedUsage)
	}
	now := at(noon)
	if now["red"].Band == 0 || now["red"].Rank != 3 || now["red"].Factor >= 0.5 {
		t.Errorf("a team that has used everything: %+v", now["red"])
	}
	// Blue was idle for weeks; it stands where a team stands that never ran.
	if now["blue"].Factor != 1 || now["new"].Factor != 1 || now["blue"].Rank != now["new"].Rank {
		t.Errorf("idle %+v, never ran %+v", now["blue"], now["new"])
	}
	if got := b.DecayedUsage(noon.Add(time.Hour), "red"); got != hours(150).CPU {
		t.Errorf("after a half-life %d", got)
	}
	// Blue works at an eighth of the pace: red is back within its share by the half-life.
	b.Charge(noon, "blue", "work", hours(40))
	back := time.Duration(0)
	for at(noon.Add(back))["red"].Band > 0 && back < 24*time.Hour {
		back += 10 * time.Minute
		b.Charge(noon.Add(back), "blue", "work", hours(10))
		b.Charge(noon.Add(back), "new", "work", hours(20))
	}
	if back == 0 || back > 4*time.Hour {
		t.Errorf("back within its share after %v with a half-life of an hour", back)
	}
	// The steady clock alone counts: a jump of the time of day by hours decays nothing.
	before := b.DecayedUsage(noon, "red")
	b.Charge(noon, "red", "work", Usage{CPU: 1})
	if s := b.Settle(noon, noon.Add(9*time.Hour), "red"); s.Open.DecayedUsage != before+1 {
		t.Errorf("decayed %d by a jump of the time of day, from %d", s.Open.DecayedUsage, before)
	}
}
