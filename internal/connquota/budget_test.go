package connquota

import (
	"testing"
	"time"
)

var start = time.Unix(1e9, 0)

// enter takes n sockets for an owner and tells how many there were.
func enter(b *Budget, now time.Time, o Owner, n int, closed *int) (got []*Holder) {
	for range n {
		h, err := b.Enter(now, Newcomers, func() { *closed++ })
		if err != nil {
			return got
		}
		if !h.Become(o) {
			h.Leave()
			return got
		}
		h.Idle(now)
		got = append(got, h)
	}
	return got
}

func TestSharesFollowFromTheLimit(t *testing.T) {
	for _, most := range []int{40, 200, 1200, 2681, 3995, 20000} {
		b := New(most, 4, nil)
		s := b.Standing()
		sum := 0
		for _, o := range []Owner{Users, Direct, Newcomers} {
			sum += s.Owners[o].Share
		}
		if sum > s.Most || s.Most >= most {
			t.Errorf("%d sockets: users, newcomers and direct commands may hold %d of %d", most, sum, s.Most)
		}
	}
}

func TestReportsAndHealthGetInWhenUsersHoldAllTheyMay(t *testing.T) {
	b, closed := New(1000, 2, nil), 0
	users := enter(b, start, Users, 1000, &closed)
	if len(users) != b.Standing().Owners[Users].Share {
		t.Fatalf("users hold %d, their share is %d", len(users), b.Standing().Owners[Users].Share)
	}
	if b.Standing().Owners[Users].Turned == 0 {
		t.Error("nobody was sent away")
	}
	if n := len(enter(b, start, Reports, 500, &closed)); n != 500 {
		t.Errorf("%d of 500 workers got in", n)
	}
	if n := len(enter(b, start, Health, 3, &closed)); n != 3 {
		t.Errorf("%d of 3 probes got in", n)
	}
	// Workers push out users that have asked nothing lately, and nobody else.
	later := start.Add(10 * time.Second)
	if enter(b, later, Reports, 400, &closed); closed == 0 {
		t.Error("idle users keep workers out")
	}
	if s := b.Standing(); s.Used > s.Most || s.Owners[Health].Used != 3 || s.Owners[Reports].Used < 800 {
		t.Errorf("held now: %+v", s)
	}
}

func TestABurstLeavesTheStateServiceAndMembersTheirSockets(t *testing.T) {
	for _, most := range []int{1200, 2681} {
		b, closed := New(most, 4, nil), 0
		enter(b, start, Reports, 2*most, &closed)
		for _, o := range []Owner{State, Peers, Cloud, Operators} {
			for i := range b.Standing().Owners[o].Share {
				if _, err := b.Enter(time.Time{}, o, nil); err != nil {
					t.Fatalf("%d sockets: %v gets %d of %d", most, o, i, b.Standing().Owners[o].Share)
				}
			}
		}
		if s := b.Standing(); s.Used > s.Most {
			t.Errorf("%d held of %d", s.Used, s.Most)
		}
	}
}

func TestConnectionsThatSayNothingMakeRoom(t *testing.T) {
	b, closed := New(1000, 2, nil), 0
	silent := 0
	for {
		if _, err := b.Enter(start, Newcomers, func() { closed++ }); err != nil {
			break
		}
		silent++
	}
	if s := b.Standing(); silent >= s.Most {
		t.Fatalf("those that say nothing hold all %d sockets", silent)
	}
	if _, err := b.Enter(start.Add(time.Second), Newcomers, func() {}); err == nil {
		t.Error("one that has only just come is closed already")
	}
	if h, err := b.Enter(start.Add(6*time.Second), Newcomers, func() {}); err != nil || closed != 1 || !h.Become(Reports) {
		t.Errorf("a worker does not get in: %v, %d closed", err, closed)
	}
}

func TestLevelsAndWhoIsKeptConnected(t *testing.T) {
	var moves []Level
	b, closed := New(1000, 2, func(_, to Level, _, _ int) { moves = append(moves, to) }), 0
	user := enter(b, start, Users, 1, &closed)[0]
	all := enter(b, start, Reports, 700, &closed)
	if !user.Keep() || !all[0].Keep() || b.Level() != Roomy {
		t.Fatalf("at 700 of 1000: %v", b.Level())
	}
	all = append(all, enter(b, start, Reports, 120, &closed)...)
	if user.Keep() || !all[0].Keep() || b.Level() != Tight {
		t.Fatalf("at 820 of 1000: %v", b.Level())
	}
	all = append(all, enter(b, start, Reports, 30, &closed)...)
	if user.Keep() || all[0].Keep() || b.Level() != Full {
		t.Fatalf("at 850 of 1000: %v", b.Level())
	}
	if h, err := b.Enter(start, Newcomers, nil); err != nil || h.Become(Users) {
		t.Error("a new user is taken in although the process is full")
	}
	for _, h := range all {
		h.Leave()
		h.Leave() // said twice
	}
	if s := b.Standing(); s.Level != Roomy || s.Used != 2 {
		t.Errorf("afterwards: %+v", s)
	}
	if want := []Level{Tight, Full, Tight, Roomy}; len(moves) != len(want) {
		t.Errorf("levels went %v, want %v: none flaps", moves, want)
	}
}

func TestWhoIsSentAwayComesBackSpreadInTime(t *testing.T) {
	b := New(1000, 2, nil)
	times := map[time.Duration]bool{}
	for range 30 {
		times[b.Later(time.Second)] = true
	}
	if len(times) < 3 {
		t.Errorf("all come back after %v", times)
	}
}

func TestMemoryIsShortBeforeItIsGone(t *testing.T) {
	moves := 0
	m := NewMemory(100<<20, func(bool, uint64, uint64) { moves++ })
	for _, c := range []struct {
		held  uint64
		short bool
	}{{30 << 20, false}, {44 << 20, false}, {46 << 20, true}, {40 << 20, true}, {37 << 20, false}, {40 << 20, false}} {
		if m.Weigh(c.held); m.Short() != c.short {
			t.Errorf("%d MB of 100 held: short %v", c.held>>20, m.Short())
		}
	}
	if moves != 2 {
		t.Errorf("told %d times of 2 changes", moves)
	}
	m = NewMemory(0, nil)
	if m.Weigh(1 << 40); m.Short() {
		t.Error("short of a memory that is not bounded")
	}
}
