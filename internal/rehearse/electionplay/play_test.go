package electionplay

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
