package wire

import (
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
)

var (
	goldenTime = time.UnixMilli(1_790_000_000_123)
	goldenTask = model.TaskID{Job: "wk-000412", Index: 3}
)

// fullSpec has every field of a submission set; what it awaits is a field of the record, not of the job in it.
func fullSpec() *model.Spec {
	return &model.Spec{ID: "wk-000412", Class: "train", Team: "vision", Shape: model.Gang, Rank: model.High, Tasks: 16,
		Need: model.Resources{CPU: 8, GPU: 1, MemGB: 64.5}, Types: []string{"g8", "g4"}, Zone: "a", OneZone: true, Spread: true, Spot: true,
		Image: "img-07", ImageGB: 6.2, Estimate: 4 * time.Minute, Checkpoint: 30 * time.Second, Save: 4 * time.Second,
		Deadline: 15 * time.Minute, Rules: `type in ("g8")`}
}

func leastSpec(shape model.Shape, rank model.Rank) *model.Spec {
	return &model.Spec{ID: "wk-000001", Class: "c", Team: "t", Shape: shape, Rank: rank, Tasks: 1, Need: model.Resources{CPU: 0.5}}
}

func awaiting(s *model.Spec, ids ...string) *model.Spec {
	s.Awaits = ids
	return s
}

func goldenUse(first uint64) ledger.Use {
	var list []uint64
	for i := range uint64(13) {
		list = append(list, first+i)
	}
	return ledger.FromNumbers(list)
}

func goldenCells() []ledger.Cell {
	return []ledger.Cell{{Class: "serve", Use: goldenUse(1)}, {Class: "train", Use: goldenUse(1 << 40)}}
}

// pairs is a map of MessagePack with its fields in order.
type pairs []any

// appendPairs writes what the outside sends, in the published form.
func appendPairs(t *testing.T, b []byte, v any) []byte {
	t.Helper()
	switch v := v.(type) {
	case pairs:
		b = msgp.AppendMapHeader(b, uint32(len(v)/2))
		for i := 0; i < len(v); i += 2 {
			b = appendPairs(t, msgp.AppendString(b, v[i].(string)), v[i+1])
		}
		return b
	case []any:
		b = msgp.AppendArrayHeader(b, uint32(len(v)))
		for _, item := range v {
			b = appendPairs(t, b, item)
		}
		return b
	}
	b, err := msgp.AppendIntf(b, v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Stored records: today's bytes are written, and read back.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	type active struct {
		Spec  *model.Spec
		At    time.Time
		Parts Parts
	}
	readActive := func(b []byte) (any, error) {
		s, at, p, err := DecodeActive(b)
		return active{s, at, p}, err
	}
	type ended struct {
		State JobState
		Tasks int
		At    time.Time
	}
	readEnded := func(b []byte) (any, error) {
		s, tasks, at, err := DecodeEnded(b)
		return ended{s, tasks, at}, err
	}
	type token struct {
		Token  uint64
		Member string
	}
	open := ledger.Open{Team: "vision", Number: 7, Settled: 99, Token: 41, From: time.Unix(1_790_000_000, 0).UTC(),
		At: goldenTime.UTC(), Cells: goldenCells(), Prev: "00ff", Decayed: 1 << 50}
	closed := ledger.Page{Team: "vision", First: 3, Last: 6, Unit: ledger.Day, From: time.Unix(1_789_948_800, 0).UTC(),
		Cells: goldenCells(), Prev: "00ff", Head: "11ee", Sum: "22dd"}
	interval := ledger.Stretch{From: goldenTime.UTC(), To: goldenTime.Add(time.Minute).UTC(), Token: 41, Without: 2}
	machine := model.Listed{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true}
	need := model.Resources{CPU: 8, GPU: 1, MemGB: 64.5}
	member := featuregate.Member{Name: "tiller-1", Release: "1.2.3", Can: 1, Life: 1 << 63}
	batch := Batch{Life: 1 << 63, Seq: 12, Text: "AQNhYmM"}
	awaits := []string{"wk-000007", "wk-000008"}

	for _, c := range []struct {
		name    string
		written []byte
		read    func(b []byte) (any, error)
		want    any
	}{
		{"record-active", AppendActive(nil, fullSpec(), goldenTime, nil, Parts{}), readActive, active{fullSpec(), goldenTime, Parts{}}},
		{"record-active-awaits", AppendActive(nil, fullSpec(), goldenTime, awaits, Parts{}), readActive,
			active{awaiting(fullSpec(), awaits...), goldenTime, Parts{}}},
		{"record-active-parts", AppendActive(nil, fullSpec(), goldenTime, nil, Parts{Count: 3, Sum: "0123456789abcdef"}), readActive,
			active{fullSpec(), goldenTime, Parts{Count: 3, Sum: "0123456789abcdef"}}},
		{"record-active-least", AppendActive(nil, leastSpec(model.Array, model.Low), goldenTime, nil, Parts{}), readActive,
			active{leastSpec(model.Array, model.Low), goldenTime, Parts{}}},
		{"record-awaits", AppendAwaits(nil, awaits), func(b []byte) (any, error) { return DecodeAwaits(b) }, awaits},
		{"record-ended-done", AppendEnded(nil, StateDone, 16, goldenTime), readEnded, ended{StateDone, 16, goldenTime}},
		{"record-ended-cancelled", AppendEnded(nil, StateCancelled, 16, goldenTime), readEnded, ended{StateCancelled, 16, goldenTime}},
		{"record-layout", AppendLayout(nil, 16384), func(b []byte) (any, error) { return DecodeLayout(b) }, 16384},
		{"record-finished-tasks", AppendTasksDone(nil, []byte{0xff, 0x00, 0x5a}), func(b []byte) (any, error) { return DecodeTasksDone(b) },
			[]byte{0xff, 0x00, 0x5a}},
		{"record-machine", AppendMachine(nil, machine), func(b []byte) (any, error) { return DecodeMachine("n-000231", b) }, machine},
		{"record-gpu-request", AppendNeed(nil, need), func(b []byte) (any, error) { return DecodeNeed(b) }, need},
		{"record-leader-token", AppendToken(nil, 41, "tiller-1"), func(b []byte) (any, error) {
			n, name, err := DecodeToken(b)
			return token{n, name}, err
		}, token{41, "tiller-1"}},
		{"record-level", AppendLevel(nil, 1, "tiller-1"), func(b []byte) (any, error) { return DecodeLevel(b) }, uint32(1)},
		{"record-member", AppendMember(nil, member), func(b []byte) (any, error) { return DecodeMember("tiller-1", b) }, member},
		{"record-ledger-open", AppendOpenPage(nil, &open), func(b []byte) (any, error) { return DecodeOpenPage(b) }, open},
		{"record-ledger-closed", AppendPage(nil, &closed), func(b []byte) (any, error) { return DecodeClosedPage(b) }, closed},
		{"record-ledger-unaccounted", AppendStretch(nil, interval), func(b []byte) (any, error) { return DecodeStretch(b) }, interval},
		{"record-relay-batch", AppendBatch(nil, batch), func(b []byte) (any, error) { return DecodeBatch(b) }, batch},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.read(golden.CheckMessagePack(t, c.name, c.written))
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, c.name, got, c.want)
		})
	}
}

// A record of the version without pipelines doesn't say when its job ended.
func TestEndedRecordWithoutTimeIsRead(t *testing.T) {
	b := golden.CheckMessagePack(t, "record-ended-first-version", appendPairs(t, nil, pairs{"end", "done", "n", uint64(16)}))
	s, tasks, at, err := DecodeEnded(b)
	if err != nil || s != StateDone || tasks != 16 || !at.IsZero() {
		t.Errorf("got %v, %d, %v, %v, want done, 16, no time", s, tasks, at, err)
	}
}

// Messages that the controllers send to workers, cloud, state service and users.
func TestSentMessagesKeepTheirBytes(t *testing.T) {
	commands := []model.Order{{Op: model.OpLaunch, Task: goldenTask, Try: 2}, {Op: model.OpStop, Task: goldenTask, Try: 3, Grace: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: goldenTask, Try: 4}}
	value := AppendLayout(nil, 64)
	txn := Txn{If: []Cond{{Key: "leader/token", Version: 12}, {Key: "job/e/wk-000001"}},
		Then: []Change{{Key: "a"}, {Key: "b", Value: value}, {Key: "c", Value: value, Lease: 9}}}
	for name, b := range map[string][]byte{
		"worker-heartbeat-answer":       AppendReportAnswer(nil, 41, commands),
		"worker-heartbeat-answer-empty": AppendReportAnswer(nil, 41, nil),
		"worker-commands":               AppendCommands(nil, 41, 1<<63, commands),
		"cloud-provision":               AppendRent(nil, model.Rental{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}),
		"cloud-release":                 AppendMachines(nil, []string{"n-000231", "n-000232"}),
		"state-transaction":             txn.Append(nil),
		"state-lease-grant":             AppendGrant(nil, 4000),
		"user-status":                   AppendStatus(nil, "wk-000412", StateRunning, 5, 11),
		"user-status-negative":          AppendStatus(nil, "wk-000412", StateQueued, -1, -1),
		"user-short-status":             AppendShortStatus(nil, "wk-000412", StateCancelled),
		"user-error":                    AppendError(nil, "no such job"),
		"leader":                        AppendLeader(nil, "tiller-1"),
		"leader-unknown":                AppendLeader(nil, ""),
	} {
		t.Run(name, func(t *testing.T) { golden.CheckMessagePack(t, "sent-"+name, b) })
	}
	for state, want := range []string{"", "queued", "running", "done", "withdrawn"} {
		if got := JobState(state).String(); got != want {
			t.Errorf("state %d of a job: got %q, want %q", state, got, want)
		}
	}
	names, err := DecodeMachines(AppendMachines(nil, []string{"n-000231"}))
	if err != nil || len(names) != 1 || names[0] != "n-000231" {
		t.Errorf("a list of machines: got %q, %v, want n-000231", names, err)
	}
}

// A submission is the job in a record; every word for a shape and a rank is read and written.
func TestSubmissionsKeepTheirBytes(t *testing.T) {
	for name, s := range map[string]*model.Spec{
		"full": fullSpec(), "array-low": leastSpec(model.Array, model.Low), "gang-normal": leastSpec(model.Gang, model.Normal),
		"service-high": leastSpec(model.Service, model.High), "array-production": leastSpec(model.Array, model.Production),
	} {
		t.Run(name, func(t *testing.T) {
			got, err := DecodeJob(golden.CheckMessagePack(t, "submission-"+name, AppendJob(nil, s)))
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, name, got, s)
		})
	}
	b := golden.CheckMessagePack(t, "submission-awaits", submissionAwaits(t))
	got, err := DecodeJob(b)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "submission-awaits", got, awaiting(leastSpec(model.Array, model.Low), "wk-000007", "wk-000008"))
	if id, err := PeekRef(b); err != nil || id != "wk-000001" {
		t.Errorf("the job's id: got %q, %v, want wk-000001", id, err)
	}
}

func submissionAwaits(t *testing.T) []byte {
	t.Helper()
	return appendPairs(t, nil, pairs{"ref", "wk-000001", "jobclass", "c", "owner", "t", "shape", "array", "rank", "idle", "rows", uint64(1),
		"cores", 0.5, "cards", 0.0, "memoryGb", 0.0, "breeds", nil, "field", nil, "oneZone", false, "scatter", false, "loaners", false,
		"seed", "", "imageGb", 0.0, "expectS", 0.0, "markS", 0.0, "storeS", 0.0, "dueS", nil,
		"awaits", []any{"wk-000008", "wk-000007", "wk-000008"}})
}

// Messages that the controllers only read: the file holds the published form.
func TestReceivedMessagesAreRead(t *testing.T) {
	task := func(status string, more ...any) pairs {
		return append(pairs{"row", "wk-000412/3", "try", uint64(2), "status", status}, more...)
	}
	read := func(p model.Phase, c model.Cause, saved bool) model.TaskReport {
		return model.TaskReport{Task: goldenTask, Try: 2, Phase: p, Cause: c, Saved: saved}
	}
	exited := func(cause string) pairs { return task("exited", "cause", cause, "saved", true) }
	value := AppendLayout(nil, 64)
	layout := pairs{"tasks", uint64(64)}
	type list struct {
		Machines []model.Listed
		More     bool
	}
	for _, c := range []struct {
		name string
		sent any
		read func(b []byte) (any, error)
		want any
	}{
		{"worker-heartbeat", pairs{"tiller", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true,
			"shift", uint64(1 << 63), "tick", uint64(88), "baton", uint64(41), "recallS", 7.5, "rows", []any{
				task("pulling"), task("gathering"), task("running"), task("saving"), exited("done"), exited("halted"), exited("mates_gone"),
				exited("incomplete"), exited("error"), exited("no_room"), exited("busy"), exited("no_such"), exited("unheard of")}},
			func(b []byte) (any, error) { return DecodeReport(b) },
			&model.Report{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1 << 63, Seq: 88, Token: 41,
				Notice: true, NoticeIn: 7500 * time.Millisecond, Tasks: []model.TaskReport{
					read(model.Fetching, 0, false), read(model.Waiting, 0, false), read(model.Running, 0, false), read(model.Saving, 0, false),
					read(model.Exited, model.CauseDone, true), read(model.Exited, model.CauseStopped, true), read(model.Exited, model.CausePeers, true),
					read(model.Exited, model.CauseAlone, true), read(model.Exited, model.CauseError, true), read(model.Exited, model.CauseNoRoom, true),
					read(model.Exited, model.CauseBusy, true), read(model.Exited, model.CauseUnknown, true), read(model.Exited, model.CauseError, true)}}},
		{"cloud-catalog", pairs{"breeds", []any{pairs{"label", "g8", "cores", 8.0, "cards", 1.0, "memoryGb", 64.0, "localGb", 100.0,
			"fetchGbPerS", 0.25, "price", 3.5, "lowPrice", 1.25, "startupS", 42.5, "fields", []any{"a", "b"}}}},
			func(b []byte) (any, error) { return DecodeCatalog(b) },
			[]model.MachineType{{Name: "g8", Cap: model.Resources{CPU: 8, GPU: 1, MemGB: 64}, CacheGB: 100, FetchGBPerS: 0.25, Price: 3.5,
				SpotPrice: 1.25, Boot: 42500 * time.Millisecond, Zones: []string{"a", "b"}}}},
		{"cloud-provisioned", pairs{"tillers", []any{"n-000231", "n-000232"}}, func(b []byte) (any, error) { return DecodeMachines(b) },
			[]string{"n-000231", "n-000232"}},
		{"cloud-machines", pairs{"more", true, "tillers", []any{
			pairs{"ref", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true, "status", "running", "heldS", 60.5},
			pairs{"ref", "n-000232", "status", "starting"}, pairs{"ref", "n-000233", "status", "failed"}}},
			func(b []byte) (any, error) {
				m, more, err := DecodeList(b)
				return list{m, more}, err
			},
			list{[]model.Listed{{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Age: 60500 * time.Millisecond},
				{Machine: "n-000232", Booting: true}, {Machine: "n-000233", Failed: true}}, true}},
		{"state-entry", pairs{"k", "layout/numbered", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)},
			func(b []byte) (any, error) { return DecodeEntry(b) }, Entry{Key: "layout/numbered", Value: value, Version: 12, Lease: 9}},
		{"state-keys", pairs{"epoch", uint64(77), "more", true, "entries", []any{pairs{"k", "layout/numbered", "value", layout, "stamp", uint64(12)}}},
			func(b []byte) (any, error) { return DecodePage(b) },
			Page{Entries: []Entry{{Key: "layout/numbered", Value: value, Version: 12}}, More: true, Revision: 77}},
		{"state-changes", pairs{"epoch", uint64(77), "log", []any{pairs{"write", "a", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)},
			pairs{"remove", "b", "stamp", uint64(13)}}},
			func(b []byte) (any, error) { return DecodePage(b) },
			Page{Entries: []Entry{{Key: "a", Value: value, Version: 12, Lease: 9}, {Key: "b", Version: 13, Removed: true}}, Revision: 77}},
		{"state-committed", pairs{"epoch", uint64(77)}, func(b []byte) (any, error) { return DecodeRevision(b) }, uint64(77)},
		{"state-lease-granted", pairs{"tenancy", uint64(9)}, func(b []byte) (any, error) { return DecodeGrant(b) }, uint64(9)},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.read(golden.CheckMessagePack(t, "received-"+c.name, appendPairs(t, nil, c.sent)))
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, c.name, got, c.want)
		})
	}
}
