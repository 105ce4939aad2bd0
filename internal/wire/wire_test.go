package wire

import (
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// submissionFields returns the fields of a valid submission, including one that this version does not know.
func submissionFields() map[string]any {
	return map[string]any{
		"ref": "wk-000412", "jobclass": "train", "owner": "vision", "shape": "ensemble", "rank": "urgent", "rows": 16,
		"cores": 8.0, "cards": 1, "memoryGb": 64.0, "seed": "img-07", "imageGb": 6.2, "breeds": []any{"g8"},
		"field": nil, "oneZone": true, "scatter": false, "loaners": true, "expectS": 240.0, "markS": 30.0,
		"storeS": 4.0, "dueS": 900.0, "unheardOf": map[string]any{"x": 1},
	}
}

// pack returns the MessagePack encoding of v.
func pack(t *testing.T, v any) []byte {
	t.Helper()
	b, err := msgp.AppendIntf(nil, v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeJobReadsAllFields(t *testing.T) {
	s, err := DecodeJob(pack(t, submissionFields()))
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "wk-000412" ||
		s.Shape != model.Gang ||
		s.Priority != model.PriorityHigh ||
		s.Tasks != 16 ||
		s.Demand != (model.Resources{CPU: 8, GPU: 1, MemGB: 64}) ||
		s.Zone != "" ||
		!s.SingleZone ||
		!s.AllowSpot ||
		s.Deadline != 15*time.Minute ||
		s.EstimatedRunTime != 4*time.Minute ||
		len(s.MachineTypes) != 1 {
		t.Errorf("got %+v, want the job of %v", s, submissionFields())
	}
	at := time.UnixMilli(1_700_000_000_123)
	stored, submitted, _, err := DecodeActiveJob(AppendActiveJob(nil, s, at, nil, DependencyParts{}))
	if err != nil ||
		!submitted.Equal(at) ||
		stored.ID != s.ID ||
		stored.EstimatedRunTime != s.EstimatedRunTime ||
		stored.MachineTypes[0] != "g8" ||
		stored.Demand != s.Demand {
		t.Errorf("record of the job: got %+v, %v, error %v; want %+v, %v and none", stored, submitted, err, s, at)
	}
}

func TestMalformedJobIsRejected(t *testing.T) {
	for name, change := range map[string]func(m map[string]any){
		"no id":                   func(m map[string]any) { delete(m, "ref") },
		"malformed id":            func(m map[string]any) { m["ref"] = "job-1" },
		"id is a number":          func(m map[string]any) { m["ref"] = 412 },
		"null for required field": func(m map[string]any) { m["cores"] = nil },
		"unknown shape":           func(m map[string]any) { m["shape"] = "triangle" },
		"unknown priority":        func(m map[string]any) { m["rank"] = "boss" },
		"no tasks":                func(m map[string]any) { m["rows"] = 0 },
		"too many tasks":          func(m map[string]any) { m["rows"] = 100_001 },
		"float for tasks":         func(m map[string]any) { m["rows"] = 4.0 },
		"negative tasks":          func(m map[string]any) { m["rows"] = -4 },
		"negative CPUs":           func(m map[string]any) { m["cores"] = -1.0 },
		"NaN":                     func(m map[string]any) { m["memoryGb"] = math.NaN() },
		"infinity":                func(m map[string]any) { m["expectS"] = math.Inf(1) },
		"string for a number":     func(m map[string]any) { m["markS"] = "30" },
		"number for a boolean":    func(m map[string]any) { m["scatter"] = 1 },
		"string for a list":       func(m map[string]any) { m["breeds"] = "g8" },
		"numbers in a list":       func(m map[string]any) { m["breeds"] = []any{1} },
		"empty list of types":     func(m map[string]any) { m["breeds"] = []any{} },
		"empty zone":              func(m map[string]any) { m["field"] = "" },
		"invalid dependency":      func(m map[string]any) { m["awaits"] = []any{"job-1"} },
	} {
		m := maps.Clone(submissionFields())
		change(m)
		if s, err := DecodeJob(pack(t, m)); err == nil {
			t.Errorf("%s: got %+v, want an error", name, s)
		}
	}
	good := pack(t, submissionFields())
	for name, b := range map[string][]byte{
		"empty":                      {},
		"a list":                     pack(t, []any{1}),
		"truncated":                  good[:len(good)-3],
		"trailing bytes":             append(append([]byte(nil), good...), 0xc0),
		"a key that is not a string": {0x81, 0x01, 0x01},
		"a huge map":                 {0xdf, 0xff, 0xff, 0xff, 0xff},
		"deeply nested":              []byte(strings.Repeat("\x91", 5000) + "\xc0"),
	} {
		if Validate(b) == nil {
			if s, err := DecodeJob(b); err == nil {
				t.Errorf("%s: got %+v, want an error", name, s)
			}
		}
	}
}

// Messages from outside can contain anything. A malformed one must cause an error and never a panic.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte{0x81, 0xa3, 'l', 'o', 'g', 0x91, 0x81, 0xa5, 'w', 'r', 'i', 't', 'e', 0xa1, 'k'})
	stop := model.Command{
		Op: model.OpStop, Task: model.TaskID{Job: "wk-000001"}, Attempt: 3, GracePeriod: time.Second,
	}
	f.Add(AppendHeartbeatResponse(nil, 7, []model.Command{stop}))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := DecodeHeartbeat(b)
		if err == nil && (h.Machine == "" || h.Epoch == 0) {
			t.Errorf("got heartbeat %+v, want an error because the machine or epoch is missing", h)
		}
		if s, err := DecodeJob(b); err == nil && (!model.ValidJobID(s.ID) || s.Tasks < 1 || s.Tasks > 100_000) {
			t.Errorf("got job %+v, want an error because the ID or the number of tasks is invalid", s)
		}
		if p, err := DecodePage(b); err != nil && p.More && len(p.Entries) > len(b) {
			t.Errorf("got %d entries from %d bytes, want at most one per byte", len(p.Entries), len(b))
		}
		if machines, _, err := DecodeMachineList(b); err == nil {
			for _, m := range machines {
				if m.Name == "" {
					t.Errorf("got machine %+v, want an error because the name is missing", m)
				}
			}
		}
	})
}

func TestDecodeHeartbeatReadsAllFields(t *testing.T) {
	h, err := DecodeHeartbeat(pack(t, map[string]any{
		"tiller": "n-000231", "addr": "10.1.0.232:9000", "breed": "g8", "field": "a", "loaners": true,
		"shift": 1, "tick": 88, "baton": uint64(41), "recallS": 7.5, "rows": []any{
			map[string]any{"row": "wk-000412/3", "try": 2, "status": "running"},
			map[string]any{"row": "not ours", "try": 2, "status": "running"},
			map[string]any{"row": "wk-000398/0", "try": 1, "status": "exited", "cause": "halted", "saved": true},
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	if h.Machine != "n-000231" ||
		h.Seq != 88 ||
		h.FencingToken != 41 ||
		!h.InterruptionNotice ||
		h.InterruptionIn != 7500*time.Millisecond ||
		len(h.Tasks) != 2 {
		t.Fatalf("got %+v, want all fields and two tasks", h)
	}
	want := model.TaskStatus{
		Task:         model.TaskID{Job: "wk-000398"},
		Attempt:      1,
		Phase:        model.PhaseExited,
		Cause:        model.CauseStopped,
		Checkpointed: true,
	}
	if got := h.Tasks[1]; got != want {
		t.Errorf("exited task: got %+v, want %+v", got, want)
	}
}
