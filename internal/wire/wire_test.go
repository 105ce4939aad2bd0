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

func submission() map[string]any {
	return map[string]any{"ref": "wk-000412", "jobclass": "train", "owner": "vision", "shape": "ensemble", "rank": "urgent", "rows": 16,
		"cores": 8.0, "cards": 1, "memoryGb": 64.0, "seed": "img-07", "imageGb": 6.2, "breeds": []any{"g8"}, "field": nil, "oneZone": true,
		"scatter": false, "loaners": true, "expectS": 240.0, "markS": 30.0, "storeS": 4.0, "dueS": 900.0, "unheardOf": map[string]any{"x": 1}}
}

func pack(t *testing.T, v any) []byte {
	t.Helper()
	b, err := msgp.AppendIntf(nil, v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeJobReadsAllFields(t *testing.T) {
	s, err := DecodeJob(pack(t, submission()))
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "wk-000412" || s.Shape != model.Gang || s.Priority != model.PriorityHigh || s.Tasks != 16 || s.Demand != (model.Resources{CPU: 8, GPU: 1, MemGB: 64}) ||
		s.Zone != "" || !s.SingleZone || !s.AllowSpot || s.Deadline != 15*time.Minute || s.EstimatedRunTime != 4*time.Minute || len(s.MachineTypes) != 1 {
		t.Errorf("read as %+v", s)
	}
	at := time.UnixMilli(1_700_000_000_123)
	again, when, _, err := DecodeActiveJob(AppendActiveJob(nil, s, at, nil, DependencyParts{}))
	if err != nil || !when.Equal(at) || again.ID != s.ID || again.EstimatedRunTime != s.EstimatedRunTime || again.MachineTypes[0] != "g8" || again.Demand != s.Demand {
		t.Errorf("the job's record reads as %+v, %v, %v", again, when, err)
	}
}

func TestMalformedJobIsRejected(t *testing.T) {
	for name, change := range map[string]func(m map[string]any){
		"no id":              func(m map[string]any) { delete(m, "ref") },
		"id of another form": func(m map[string]any) { m["ref"] = "job-1" },
		"id is a number":     func(m map[string]any) { m["ref"] = 412 },
		"null for a must":    func(m map[string]any) { m["cores"] = nil },
		"unknown shape":      func(m map[string]any) { m["shape"] = "triangle" },
		"unknown rank":       func(m map[string]any) { m["rank"] = "boss" },
		"no tasks":           func(m map[string]any) { m["rows"] = 0 },
		"too many tasks":     func(m map[string]any) { m["rows"] = 100_001 },
		"a decimal of tasks": func(m map[string]any) { m["rows"] = 4.0 },
		"negative tasks":     func(m map[string]any) { m["rows"] = -4 },
		"negative cores":     func(m map[string]any) { m["cores"] = -1.0 },
		"NaN":                func(m map[string]any) { m["memoryGb"] = math.NaN() },
		"infinity":           func(m map[string]any) { m["expectS"] = math.Inf(1) },
		"text for a number":  func(m map[string]any) { m["markS"] = "30" },
		"number for a flag":  func(m map[string]any) { m["scatter"] = 1 },
		"text for a list":    func(m map[string]any) { m["breeds"] = "g8" },
		"numbers in a list":  func(m map[string]any) { m["breeds"] = []any{1} },
	} {
		m := maps.Clone(submission())
		change(m)
		if s, err := DecodeJob(pack(t, m)); err == nil {
			t.Errorf("%s: taken as %+v", name, s)
		}
	}
	good := pack(t, submission())
	for name, b := range map[string][]byte{
		"empty": {}, "a list": pack(t, []any{1}), "cut off": good[:len(good)-3], "bytes behind": append(append([]byte(nil), good...), 0xc0),
		"a key that is no text": {0x81, 0x01, 0x01}, "a huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"nested without end": []byte(strings.Repeat("\x91", 5000) + "\xc0"),
	} {
		if Validate(b) == nil {
			if s, err := DecodeJob(b); err == nil {
				t.Errorf("%s: taken as %+v", name, s)
			}
		}
	}
}

// Answers of the outside world may be anything: they are errors, never a panic.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte{0x81, 0xa3, 'l', 'o', 'g', 0x91, 0x81, 0xa5, 'w', 'r', 'i', 't', 'e', 0xa1, 'k'})
	f.Add(AppendHeartbeatResponse(nil, 7, []model.Command{{Op: model.OpStop, Task: model.TaskID{Job: "wk-000001"}, Attempt: 3, GracePeriod: time.Second}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeHeartbeat(b)
		if err == nil && (r.Machine == "" || r.Epoch == 0) {
			t.Error("a report without machine or session was taken")
		}
		if s, err := DecodeJob(b); err == nil && (!model.ValidJobID(s.ID) || s.Tasks < 1 || s.Tasks > 100_000) {
			t.Errorf("taken as a job: %+v", s)
		}
		if p, err := DecodePage(b); err != nil && p.More && len(p.Entries) > len(b) {
			t.Error("more entries than bytes")
		}
		if m, _, err := DecodeMachineList(b); err == nil {
			for _, l := range m {
				if l.Name == "" {
					t.Error("a machine without name was taken")
				}
			}
		}
	})
}

func TestDecodeHeartbeatReadsAllFields(t *testing.T) {
	r, err := DecodeHeartbeat(pack(t, map[string]any{"tiller": "n-000231", "addr": "10.1.0.232:9000", "breed": "g8", "field": "a", "loaners": true,
		"shift": 1, "tick": 88, "baton": uint64(41), "recallS": 7.5, "rows": []any{
			map[string]any{"row": "wk-000412/3", "try": 2, "status": "running"},
			map[string]any{"row": "not ours", "try": 2, "status": "running"},
			map[string]any{"row": "wk-000398/0", "try": 1, "status": "exited", "cause": "halted", "saved": true}}}))
	if err != nil {
		t.Fatal(err)
	}
	if r.Machine != "n-000231" || r.Seq != 88 || r.FencingToken != 41 || !r.InterruptionNotice || r.InterruptionIn != 7500*time.Millisecond || len(r.Tasks) != 2 {
		t.Fatalf("read as %+v", r)
	}
	if x := r.Tasks[1]; x.Task.Job != "wk-000398" || x.Phase != model.PhaseExited || x.Cause != model.CauseStopped || !x.Checkpointed {
		t.Errorf("the exited task reads as %+v", x)
	}
}
