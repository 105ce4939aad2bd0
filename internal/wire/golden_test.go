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
	return &model.Spec{ID: "wk-000412", Class: "train", Team: "vision", Shape: model.Gang, Priority: model.PriorityHigh, Tasks: 16,
		Demand: model.Resources{CPU: 8, GPU: 1, MemGB: 64.5}, MachineTypes: []string{"g8", "g4"}, Zone: "a", SingleZone: true, Spread: true, AllowSpot: true,
		Image: "img-07", ImageGB: 6.2, EstimatedRunTime: 4 * time.Minute, CheckpointInterval: 30 * time.Second, CheckpointTime: 4 * time.Second,
		Deadline: 15 * time.Minute, Rules: `type in ("g8")`}
}

func leastSpec(shape model.Shape, rank model.Priority) *model.Spec {
	return &model.Spec{ID: "wk-000001", Class: "c", Team: "t", Shape: shape, Priority: rank, Tasks: 1, Demand: model.Resources{CPU: 0.5}}
}

func awaiting(s *model.Spec, ids ...string) *model.Spec {
	s.Dependencies = ids
	return s
}

func goldenUse(first uint64) ledger.Usage {
	var list []uint64
	for i := range uint64(13) {
		list = append(list, first+i)
	}
	return ledger.FromNumbers(list)
}

func goldenCells() []ledger.ClassUsage {
	return []ledger.ClassUsage{{Class: "serve", Usage: goldenUse(1)}, {Class: "train", Usage: goldenUse(1 << 40)}}
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
		Parts DependencyParts
	}
	readActive := func(b []byte) (any, error) {
		s, at, p, err := DecodeActiveJob(b)
		return active{s, at, p}, err
	}
	type ended struct {
		State JobState
		Tasks int
		At    time.Time
	}
	readEnded := func(b []byte) (any, error) {
		s, tasks, at, err := DecodeEndedJob(b)
		return ended{s, tasks, at}, err
	}
	type token struct {
		Token  uint64
		Member string
	}
	open := ledger.OpenSegment{Team: "vision", Number: 7, Settlements: 99, FencingToken: 41, Start: time.Unix(1_790_000_000, 0).UTC(),
		SettledAt: goldenTime.UTC(), Usage: goldenCells(), Prev: "00ff", DecayedUsage: 1 << 50}
	closed := ledger.Segment{Team: "vision", First: 3, Last: 6, Unit: ledger.Day, Start: time.Unix(1_789_948_800, 0).UTC(),
		Usage: goldenCells(), Prev: "00ff", Head: "11ee", Sum: "22dd"}
	interval := ledger.Interval{Start: goldenTime.UTC(), End: goldenTime.Add(time.Minute).UTC(), FencingToken: 41, UnsettledLeaders: 2}
	machine := model.MachineInfo{Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true}
	need := model.Resources{CPU: 8, GPU: 1, MemGB: 64.5}
	member := featuregate.Member{Name: "tiller-1", Release: "1.2.3", Supported: 1, Incarnation: 1 << 63}
	batch := RelayBatch{Incarnation: 1 << 63, Seq: 12, Payload: "AQNhYmM"}
	awaits := []string{"wk-000007", "wk-000008"}

	for _, c := range []struct {
		name    string
		written []byte
		read    func(b []byte) (any, error)
		want    any
	}{
		{"record-active", AppendActiveJob(nil, fullSpec(), goldenTime, nil, DependencyParts{}), readActive, active{fullSpec(), goldenTime, DependencyParts{}}},
		{"record-active-awaits", AppendActiveJob(nil, fullSpec(), goldenTime, awaits, DependencyParts{}), readActive,
			active{awaiting(fullSpec(), awaits...), goldenTime, DependencyParts{}}},
		{"record-active-parts", AppendActiveJob(nil, fullSpec(), goldenTime, nil, DependencyParts{Count: 3, Sum: "0123456789abcdef"}), readActive,
			active{fullSpec(), goldenTime, DependencyParts{Count: 3, Sum: "0123456789abcdef"}}},
		{"record-active-least", AppendActiveJob(nil, leastSpec(model.Array, model.PriorityLow), goldenTime, nil, DependencyParts{}), readActive,
			active{leastSpec(model.Array, model.PriorityLow), goldenTime, DependencyParts{}}},
		{"record-awaits", AppendDependencies(nil, awaits), func(b []byte) (any, error) { return DecodeDependencies(b) }, awaits},
		{"record-ended-done", AppendEndedJob(nil, StateDone, 16, goldenTime), readEnded, ended{StateDone, 16, goldenTime}},
		{"record-ended-cancelled", AppendEndedJob(nil, StateCancelled, 16, goldenTime), readEnded, ended{StateCancelled, 16, goldenTime}},
		{"record-layout", AppendChunkLayout(nil, 16384), func(b []byte) (any, error) { return DecodeChunkLayout(b) }, 16384},
		{"record-finished-tasks", AppendTasksDone(nil, []byte{0xff, 0x00, 0x5a}), func(b []byte) (any, error) { return DecodeTasksDone(b) },
			[]byte{0xff, 0x00, 0x5a}},
		{"record-machine", AppendMachine(nil, machine), func(b []byte) (any, error) { return DecodeMachine("n-000231", b) }, machine},
		{"record-gpu-request", AppendGPUDemand(nil, need), func(b []byte) (any, error) { return DecodeGPUDemand(b) }, need},
		{"record-leader-token", AppendLeaderRecord(nil, 41, "tiller-1"), func(b []byte) (any, error) {
			n, name, err := DecodeLeaderRecord(b)
			return token{n, name}, err
		}, token{41, "tiller-1"}},
		{"record-level", AppendFeatureLevel(nil, 1, "tiller-1"), func(b []byte) (any, error) { return DecodeFeatureLevel(b) }, uint32(1)},
		{"record-member", AppendMember(nil, member), func(b []byte) (any, error) { return DecodeMember("tiller-1", b) }, member},
		{"record-ledger-open", AppendOpenSegment(nil, &open), func(b []byte) (any, error) { return DecodeOpenSegment(b) }, open},
		{"record-ledger-closed", AppendSegment(nil, &closed), func(b []byte) (any, error) { return DecodeSegment(b) }, closed},
		{"record-ledger-unaccounted", AppendUnaccountedInterval(nil, interval), func(b []byte) (any, error) { return DecodeUnaccountedInterval(b) }, interval},
		{"record-relay-batch", AppendRelayBatch(nil, batch), func(b []byte) (any, error) { return DecodeRelayBatch(b) }, batch},
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
	s, tasks, at, err := DecodeEndedJob(b)
	if err != nil || s != StateDone || tasks != 16 || !at.IsZero() {
		t.Errorf("got %v, %d, %v, %v, want done, 16, no time", s, tasks, at, err)
	}
}

// Messages that the controllers send to workers, cloud, state service and users.
func TestSentMessagesKeepTheirBytes(t *testing.T) {
	commands := []model.Command{{Op: model.OpLaunch, Task: goldenTask, Attempt: 2}, {Op: model.OpStop, Task: goldenTask, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: goldenTask, Attempt: 4}}
	value := AppendChunkLayout(nil, 64)
	txn := Txn{Conditions: []Condition{{Key: "leader/token", Version: 12}, {Key: "job/e/wk-000001"}},
		Changes: []Change{{Key: "a"}, {Key: "b", Value: value}, {Key: "c", Value: value, Lease: 9}}}
	for name, b := range map[string][]byte{
		"worker-heartbeat-answer":       AppendHeartbeatResponse(nil, 41, commands),
		"worker-heartbeat-answer-empty": AppendHeartbeatResponse(nil, 41, nil),
		"worker-commands":               AppendCommands(nil, 41, 1<<63, commands),
		"cloud-provision":               AppendProvisioning(nil, model.Provisioning{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}),
		"cloud-release":                 AppendMachineNames(nil, []string{"n-000231", "n-000232"}),
		"state-transaction":             txn.Append(nil),
		"state-lease-grant":             AppendLeaseRequest(nil, 4000),
		"user-status":                   AppendJobStatus(nil, "wk-000412", StateRunning, 5, 11),
		"user-status-negative":          AppendJobStatus(nil, "wk-000412", StateQueued, -1, -1),
		"user-short-status":             AppendJobState(nil, "wk-000412", StateCancelled),
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
	names, err := DecodeMachineNames(AppendMachineNames(nil, []string{"n-000231"}))
	if err != nil || len(names) != 1 || names[0] != "n-000231" {
		t.Errorf("a list of machines: got %q, %v, want n-000231", names, err)
	}
}

// A submission is the job in a record; every word for a shape and a rank is read and written.
func TestSubmissionsKeepTheirBytes(t *testing.T) {
	for name, s := range map[string]*model.Spec{
		"full": fullSpec(), "array-low": leastSpec(model.Array, model.PriorityLow), "gang-normal": leastSpec(model.Gang, model.PriorityNormal),
		"service-high": leastSpec(model.Service, model.PriorityHigh), "array-production": leastSpec(model.Array, model.PriorityProduction),
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
	golden.Equal(t, "submission-awaits", got, awaiting(leastSpec(model.Array, model.PriorityLow), "wk-000007", "wk-000008"))
	if id, err := DecodeJobID(b); err != nil || id != "wk-000001" {
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
	read := func(p model.Phase, c model.ExitCause, saved bool) model.TaskStatus {
		return model.TaskStatus{Task: goldenTask, Attempt: 2, Phase: p, Cause: c, Checkpointed: saved}
	}
	exited := func(cause string) pairs { return task("exited", "cause", cause, "saved", true) }
	value := AppendChunkLayout(nil, 64)
	layout := pairs{"tasks", uint64(64)}
	type list struct {
		Machines []model.MachineInfo
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
			func(b []byte) (any, error) { return DecodeHeartbeat(b) },
			&model.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 1 << 63, Seq: 88, FencingToken: 41,
				InterruptionNotice: true, InterruptionIn: 7500 * time.Millisecond, Tasks: []model.TaskStatus{
					read(model.PhaseFetching, 0, false), read(model.PhaseWaiting, 0, false), read(model.PhaseRunning, 0, false), read(model.PhaseCheckpointing, 0, false),
					read(model.PhaseExited, model.CauseDone, true), read(model.PhaseExited, model.CauseStopped, true), read(model.PhaseExited, model.CauseGangMemberLost, true),
					read(model.PhaseExited, model.CauseGangIncomplete, true), read(model.PhaseExited, model.CauseError, true), read(model.PhaseExited, model.CauseNoCapacity, true),
					read(model.PhaseExited, model.CauseAttemptConflict, true), read(model.PhaseExited, model.CauseUnknownJob, true), read(model.PhaseExited, model.CauseError, true)}}},
		{"cloud-catalog", pairs{"breeds", []any{pairs{"label", "g8", "cores", 8.0, "cards", 1.0, "memoryGb", 64.0, "localGb", 100.0,
			"fetchGbPerS", 0.25, "price", 3.5, "lowPrice", 1.25, "startupS", 42.5, "fields", []any{"a", "b"}}}},
			func(b []byte) (any, error) { return DecodeCatalog(b) },
			[]model.MachineType{{Name: "g8", Capacity: model.Resources{CPU: 8, GPU: 1, MemGB: 64}, CacheGB: 100, FetchGBPerS: 0.25, PricePerHour: 3.5,
				SpotPricePerHour: 1.25, BootTime: 42500 * time.Millisecond, Zones: []string{"a", "b"}}}},
		{"cloud-provisioned", pairs{"tillers", []any{"n-000231", "n-000232"}}, func(b []byte) (any, error) { return DecodeMachineNames(b) },
			[]string{"n-000231", "n-000232"}},
		{"cloud-machines", pairs{"more", true, "tillers", []any{
			pairs{"ref", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true, "status", "running", "heldS", 60.5},
			pairs{"ref", "n-000232", "status", "starting"}, pairs{"ref", "n-000233", "status", "failed"}}},
			func(b []byte) (any, error) {
				m, more, err := DecodeMachineList(b)
				return list{m, more}, err
			},
			list{[]model.MachineInfo{{Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Age: 60500 * time.Millisecond},
				{Name: "n-000232", Booting: true}, {Name: "n-000233", Failed: true}}, true}},
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
		{"state-lease-granted", pairs{"tenancy", uint64(9)}, func(b []byte) (any, error) { return DecodeLeaseID(b) }, uint64(9)},
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
