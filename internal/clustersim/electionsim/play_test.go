package electionsim

import "testing"

func TestEveryCourseOfSomeTroublesLeavesOneToAct(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 10, Faults: 3}, {Members: 3, Seconds: 10, Faults: 2}} {
		set.Most = 3_000_000
		r, err := Play(set)
		if err != nil || r.Broken != "" {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
		if r.ByWord < 100 || r.Claims < 100 {
			t.Errorf("%+v shows little: %+v", set, r)
		}
		t.Logf("%+v: %+v", set, r)
	}
}

func TestWhatIsLeftOutIsFound(t *testing.T) {
	for b, faults := range map[Break]int{CutShort: 2, Forgotten: 3, Late: 3} {
		r, err := Play(Settings{Members: 2, Seconds: 14, Faults: faults, Most: 1_000_000, Break: b})
		if err != nil || r.Broken == "" {
			t.Errorf("%s: %+v, %v", b, r, err)
		}
		t.Logf("%s: %s, by%s", b, r.Broken, r.Course)
	}
}

// The same with members that end at any step of an election and are back at once, while what their former
// lives have sent comes late; and it shows what holds them apart.
func TestLivesABlinkApartLeaveOneToAct(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 10, Faults: 2}, {Members: 3, Seconds: 6, Faults: 2}} {
		set.Most, set.Blink = 3_000_000, true
		if r, err := Play(set); err != nil || r.Broken != "" || r.Claims < 100 {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
	}
	r, err := Play(Settings{Members: 2, Seconds: 12, Faults: 4, Most: 3_000_000, Break: Lives, Blink: true, Only: []string{"crash", "cut", "part", "blink-claiming"}})
	if err != nil || r.Broken == "" {
		t.Errorf("lives that are not told apart: %+v, %v", r, err)
	}
	t.Logf("%s, by%s", r.Broken, r.Course)
}

// The same while members' programs change between one that knows levels and one from before them, and
// a level is raised: whoever may act knows the level in force, and acts by it.
func TestNobodyActsUnderALevelThatItDoesNotKnow(t *testing.T) {
	for _, set := range []Settings{{Members: 2, Seconds: 9, Faults: 3}, {Members: 3, Seconds: 9, Faults: 2}} {
		set.Most, set.Levels = 3_000_000, true
		r, err := Play(set)
		if err != nil || r.Broken != "" {
			t.Errorf("%+v: %+v, %v", set, r, err)
		}
		if r.Raised < 1000 || r.Claims < 100 {
			t.Errorf("%+v shows little: %+v", set, r)
		}
		t.Logf("%+v: %+v", set, r)
	}
	for b, faults := range map[Break]int{Readable: 2, Beside: 2} {
		r, err := Play(Settings{Members: 2, Seconds: 14, Faults: faults, Most: 2_000_000, Break: b, Levels: true})
		if err != nil || r.Broken == "" {
			t.Errorf("%s: %+v, %v", b, r, err)
		}
		t.Logf("%s: %s, by%s", b, r.Broken, r.Course)
	}
}
