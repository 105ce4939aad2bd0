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

func settings(most int) Settings {
	return Settings{Settle: 10 * time.Second, Half: time.Hour, Weights: Weights{GPU: 8}, Most: most,
		Keep: Retention{Hours: 24 * time.Hour, Days: 72 * time.Hour}, Seal: NewSeal([]byte("a secret of the operators"))}
}

// records stand in for the state service: one team's account and its pages, and the
// condition under which a settlement is carried out.
type records struct {
	acc   OnRecord
	pages []Stored
	rev   uint64
	token uint64
}

func (r *records) carry(s *Settlement, token uint64) bool {
	if token != r.token || s.Version != r.acc.Version {
		return false
	}
	r.rev++
	r.acc = OnRecord{Open: s.Open, Version: r.rev}
	if s.Closed != nil {
		r.pages = append(r.pages, Stored{*s.Closed, r.rev})
	}
	return true
}

func (r *records) total() Use {
	u := Total(r.acc.Open.Cells)
	for _, p := range r.pages {
		u.Add(Total(p.Cells))
	}
	return u
}

func (r *records) verify(s *Seal) error {
	var pages []Page
	for _, p := range r.pages {
		pages = append(pages, p.Page)
	}
	last, link, err := s.Verify(pages, 0, "")
	if err == nil && r.acc.Version > 0 {
		err = r.acc.Open.VerifyOpen(last, link)
	}
	return err
}

// Whatever the order of charges, settlements, copies that are lost, late or doubled,
// answers that do not come, takeovers, clocks that jump and folds: what is on record is
// what was charged up to the last settlement that was carried out, and is chained.
func TestRecordsHoldWhatWasSettledInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings(rapid.IntRange(700, 2000).Draw(t, "most"))
		rec := &records{}
		var book *Book
		var copies []struct {
			s     *Settlement
			token uint64
		}
		now, day := noon, noon
		var want, charged Use // on record; and charged by this leader since the settlement that is on its way
		about := map[string]Use{}
		name := func(s *Settlement, token uint64) string { return fmt.Sprint(token, "/", s.Open.Settled) }
		takeOver := func(*rapid.T) {
			rec.token++
			var have []OnRecord
			if rec.acc.Version > 0 {
				have = append(have, rec.acc)
			}
			book, charged = NewBook(now, set, rec.token, have), Use{}
		}
		takeOver(nil)
		carry := func(s *Settlement, token uint64) bool {
			if !rec.carry(s, token) {
				return false
			}
			want.Add(about[name(s, token)])
			return true
		}
		send := func(s *Settlement) {
			copies = append(copies, struct {
				s     *Settlement
				token uint64
			}{s, rec.token})
		}
		doubt := func() {
			book.Refused(now, "red")
			for range book.Doubts() {
				if again, _ := book.Read("red", rec.acc); again != nil {
					send(again)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				u := Use{CPU: rapid.Uint64Range(1, 1e12).Draw(t, "cpu"), GPU: rapid.Uint64Range(0, 1e9).Draw(t, "gpu"), Starts: 1}
				u.Wait[Limit] = rapid.Uint64Range(0, 1e9).Draw(t, "wait")
				book.Charge(now, "red", rapid.StringMatching(`[a-z<é]{1,30}`).Draw(t, "class"), u)
				charged.Add(u)
			},
			"settle": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "s")) * time.Second)
				if s := book.Settle(now, day, "red"); s != nil {
					// Classes for which the page had no room are left for the next one.
					part, left := Total(s.charges), Total(book.teams["red"].delta)
					all := part
					if all.Add(left); all != charged {
						t.Fatalf("settled %+v and left %+v of %+v", part, left, charged)
					}
					about[name(s, rec.token)], charged = part, left
					send(s)
				}
			},
			"answered": func(t *rapid.T) {
				if len(copies) == 0 {
					t.Skip()
				}
				c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "which")]
				ok := carry(c.s, c.token)
				if a := book.teams["red"]; c.token == rec.token && a != nil && a.next == c.s {
					if ok {
						book.Settled("red", rec.acc.Version)
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
				into, from, n := Fold(&set, rec.pages, day, rapid.IntRange(2, 12).Draw(t, "most"))
				if n > 0 {
					rec.pages = append(rec.pages[:from:from], append([]Stored{{*into, rec.rev}}, rec.pages[from+n:]...)...)
				}
			},
			"": func(t *rapid.T) {
				if got := rec.total(); got != want {
					t.Fatalf("on record %+v, settled %+v", got, want)
				}
				if err := rec.verify(set.Seal); err != nil {
					t.Fatal(err)
				}
				if n := Size("red", rec.acc.Open.Cells); n > set.Most && len(rec.acc.Open.Cells) > 1 {
					t.Fatalf("a record of %d bytes", n)
				}
			},
		})
	})
}

func TestChangedAndMissingPagesShow(t *testing.T) {
	set := settings(2000)
	b := NewBook(noon, set, 1, nil)
	rec := &records{token: 1}
	now := noon
	for hour := range 6 {
		b.Charge(now, "red", "work", Use{CPU: uint64(hour + 1)})
		s := b.Settle(now, now, "red")
		if !rec.carry(s, 1) {
			t.Fatal("not carried out")
		}
		b.Settled("red", rec.acc.Version)
		now = now.Add(time.Hour)
	}
	if err := rec.verify(set.Seal); err != nil || len(rec.pages) != 5 {
		t.Fatalf("%d pages, %v", len(rec.pages), err)
	}
	broken := func(what string, want error, change func(r *records, s **Seal)) {
		r, s := *rec, set.Seal
		r.pages = append([]Stored(nil), rec.pages...)
		change(&r, &s)
		if err := r.verify(s); !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	broken("an amount", ErrChanged, func(r *records, _ **Seal) { r.pages[2].Cells = []Cell{{"work", Use{CPU: 99}}} })
	broken("a page less", ErrGap, func(r *records, _ **Seal) { r.pages = append(r.pages[:2:2], r.pages[3:]...) })
	broken("the last page less", ErrGap, func(r *records, _ **Seal) { r.pages = r.pages[:4] })
	broken("a page made anew without the key", ErrChanged, func(r *records, _ **Seal) {
		r.pages[4].Cells = nil
		r.pages[4].Sum = NewSeal(nil).Sum(&r.pages[4].Page)
	})
	broken("another key", ErrChanged, func(_ *records, s **Seal) { *s = NewSeal([]byte("some other secret")) })
}

func TestShareForgetsAndSavesNothingUp(t *testing.T) {
	b := NewBook(noon, settings(2000), 1, nil)
	weights := map[string]float64{"red": 1, "blue": 1, "new": 2}
	hours := func(n uint64) Use { return Use{CPU: n * 3600 * 1_000_000} }
	b.Charge(noon, "red", "work", hours(300))
	at := func(now time.Time) map[string]Standing {
		out := map[string]Standing{}
		for _, s := range Standings(weights, func(team string) uint64 { return b.Decayed(now, team) }) {
			out[s.Team] = s
		}
		return out
	}
	s := b.Settle(noon, noon, "red")
	b.Settled("red", 1)
	if s.Open.Decayed != hours(300).CPU {
		t.Fatalf("decayed use %d", s.Open.Decayed)
	}
	now := at(noon)
	if now["red"].Band == 0 || now["red"].Place != 3 || now["red"].Factor >= 0.5 {
		t.Errorf("a team that has used everything: %+v", now["red"])
	}
	// Blue was idle for weeks; it stands where a team stands that never ran.
	if now["blue"].Factor != 1 || now["new"].Factor != 1 || now["blue"].Place != now["new"].Place {
		t.Errorf("idle %+v, never ran %+v", now["blue"], now["new"])
	}
	if got := b.Decayed(noon.Add(time.Hour), "red"); got != hours(150).CPU {
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
	before := b.Decayed(noon, "red")
	b.Charge(noon, "red", "work", Use{CPU: 1})
	if s := b.Settle(noon, noon.Add(9*time.Hour), "red"); s.Open.Decayed != before+1 {
		t.Errorf("decayed %d by a jump of the time of day, from %d", s.Open.Decayed, before)
	}
}
