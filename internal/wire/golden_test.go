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

// fullSpec has every field of a submission set. Dependencies are a field of the record, not of the job in it.
func fullSpec() *model.Spec {
	return &model.Spec{
		ID:                 "wk-000412",
		Class:              "train",
		Team:               "vision",
		Shape:              model.Gang,
		Priority:           model.PriorityHigh,
		Tasks:              16,
		Demand:             model.Resources{CPU: 8, GPU: 1, MemGB: 64.5},
		MachineTypes:       []string{"g8", "g4"},
		Zone:               "a",
		SingleZone:         true,
		Spread:             true,
		AllowSpot:          true,
		Image:              "img-07",
		ImageGB:            6.2,
		EstimatedRunTime:   4 * time.Minute,
		CheckpointInterval: 30 * time.Second,
		CheckpointTime:     4 * time.Second,
		Deadline:           15 * time.Minute,
		Rules:              `type in ("g8")`,
	}
}

func leastSpec(shape model.Shape, priority model.Priority) *model.Spec {
	return &model.Spec{
		ID: "wk-000001", Class: "c", Team: "t", Shape: shape, Priority: priority, Tasks: 1,
		Demand: model.Resources{CPU: 0.5},
	}
}

func dependingOn(s *model.Spec, ids ...string) *model.Spec {
	s.Dependencies = ids
	return s
}

func goldenNumbers(first uint64) ledger.Usage {
	var list []uint64
	for i := range uint64(13) {
		list = append(list, first+i)
	}
	return ledger.FromNumbers(list)
}

func goldenUsage() []ledger.ClassUsage {
	return []ledger.ClassUsage{{Class: "serve", Usage: goldenNumbers(1)}, {Class: "train", Usage: goldenNumbers(1 << 40)}}
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

// decoder returns a decoder whose result is of any type.
func decoder[T any](decode func(b []byte) (T, error)) func(b []byte) (any, error) {
	return func(b []byte) (any, error) { return decode(b) }
}

// storedRecord is a record as it is written, and what is to be read of it.
type storedRecord struct {
	name    string
	written []byte
	read    func(b []byte) (any, error)
	want    any
}

// Stored records: today's bytes are written, and read back.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	for _, records := range [][]storedRecord{jobRecords(), memberRecords(), ledgerRecords()} {
		for _, c := range records {
			t.Run(c.name, func(t *testing.T) {
				got, err := c.read(golden.CheckMessagePack(t, c.name, c.written))
				if err != nil {
					t.Fatal(err)
				}
				golden.Equal(t, c.name, got, c.want)
			})
		}
	}
}

func jobRecords() []storedRecord {
	type active struct {
		Spec      *model.Spec
		Submitted time.Time
		Parts     DependencyParts
	}
	readActive := func(b []byte) (any, error) {
		s, submitted, parts, err := DecodeActiveJob(b)
		return active{s, submitted, parts}, err
	}
	type ended struct {
		State JobState
		Tasks int
		Ended time.Time
	}
	readEnded := func(b []byte) (any, error) {
		s, tasks, at, err := DecodeEndedJob(b)
		return ended{s, tasks, at}, err
	}
	none, parts := DependencyParts{}, DependencyParts{Count: 3, Sum: "0123456789abcdef"}
	ids := []string{"wk-000007", "wk-000008"}
	least := leastSpec(model.Array, model.PriorityLow)
	bits := []byte{0xff, 0x00, 0x5a}
	return []storedRecord{
		{"record-active", AppendActiveJob(nil, fullSpec(), goldenTime, nil, none), readActive,
			active{fullSpec(), goldenTime, none}},
		{"record-active-awaits", AppendActiveJob(nil, fullSpec(), goldenTime, ids, none), readActive,
			active{dependingOn(fullSpec(), ids...), goldenTime, none}},
		{"record-active-parts", AppendActiveJob(nil, fullSpec(), goldenTime, nil, parts), readActive,
			active{fullSpec(), goldenTime, parts}},
		{"record-active-least", AppendActiveJob(nil, least, goldenTime, nil, none), readActive,
			active{least, goldenTime, none}},
		{"record-awaits", AppendDependencies(nil, ids), decoder(DecodeDependencies), ids},
		{"record-ended-done", AppendEndedJob(nil, StateDone, 16, goldenTime), readEnded,
			ended{StateDone, 16, goldenTime}},
		{"record-ended-cancelled", AppendEndedJob(nil, StateCancelled, 16, goldenTime), readEnded,
			ended{StateCancelled, 16, goldenTime}},
		{"record-layout", AppendChunkLayout(nil, 16384), decoder(DecodeChunkLayout), 16384},
		{"record-finished-tasks", AppendTasksDone(nil, bits), decoder(DecodeTasksDone), bits},
	}
}

func memberRecords() []storedRecord {
	type leader struct {
		FencingToken uint64
		Member       string
	}
	readLeader := func(b []byte) (any, error) {
		token, member, err := DecodeLeaderRecord(b)
		return leader{token, member}, err
	}
	readMachine := func(b []byte) (any, error) { return DecodeMachine("n-000231", b) }
	readMember := func(b []byte) (any, error) { return DecodeMember("tiller-1", b) }
	machine := model.MachineInfo{Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true}
	demand := model.Resources{CPU: 8, GPU: 1, MemGB: 64.5}
	member := featuregate.Member{Name: "tiller-1", Release: "1.2.3", Supported: 1, Incarnation: 1 << 63}
	batch := RelayBatch{Incarnation: 1 << 63, Seq: 12, Payload: "AQNhYmM"}
	return []storedRecord{
		{"record-machine", AppendMachine(nil, machine), readMachine, machine},
		{"record-gpu-request", AppendGPUDemand(nil, demand), decoder(DecodeGPUDemand), demand},
		{"record-leader-token", AppendLeaderRecord(nil, 41, "tiller-1"), readLeader, leader{41, "tiller-1"}},
		{"record-level", AppendFeatureLevel(nil, 1, "tiller-1"), decoder(DecodeFeatureLevel), uint32(1)},
		{"record-member", AppendMember(nil, member), readMember, member},
		{"record-relay-batch", AppendRelayBatch(nil, batch), decoder(DecodeRelayBatch), batch},
	}
}

func ledgerRecords() []storedRecord {
	open := ledger.OpenSegment{
		Team:         "vision",
		Number:       7,
		Settlements:  99,
		FencingToken: 41,
		Start:        time.Unix(1_790_000_000, 0).UTC(),
		SettledAt:    goldenTime.UTC(),
		Usage:        goldenUsage(),
		Prev:         "00ff",
		DecayedUsage: 1 << 50,
	}
	closed := ledger.Segment{
		Team:  "vision",
		First: 3,
		Last:  6,
		Unit:  ledger.Day,
		Start: time.Unix(1_789_948_800, 0).UTC(),
		Usage: goldenUsage(),
		Prev:  "00ff",
		Head:  "11ee",
		Sum:   "22dd",
	}
	interval := ledger.Interval{
		Start:            goldenTime.UTC(),
		End:              goldenTime.Add(time.Minute).UTC(),
		FencingToken:     41,
		UnsettledLeaders: 2,
	}
	return []storedRecord{
		{"record-ledger-open", AppendOpenSegment(nil, &open), decoder(DecodeOpenSegment), open},
		{"record-ledger-closed", AppendSegment(nil, &closed), decoder(DecodeSegment), closed},
		{"record-ledger-unaccounted", AppendUnaccountedInterval(nil, interval), decoder(DecodeUnaccountedInterval),
			interval},
	}
}

// A record of the versions without dependencies doesn't say when its job ended.
func TestEndedRecordWithoutTimeIsRead(t *testing.T) {
	stored := appendPairs(t, nil, pairs{"end", "done", "n", uint64(16)})
	b := golden.CheckMessagePack(t, "record-ended-first-version", stored)
	s, tasks, at, err := DecodeEndedJob(b)
	if err != nil || s != StateDone || tasks != 16 || !at.IsZero() {
		t.Errorf("got %v, %d, %v, %v, want done, 16, no time", s, tasks, at, err)
	}
}

// Messages that the controllers send to workers, cloud, state service and users.
func TestSentMessagesKeepTheirBytes(t *testing.T) {
	commands := []model.Command{
		{Op: model.OpLaunch, Task: goldenTask, Attempt: 2},
		{Op: model.OpStop, Task: goldenTask, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: goldenTask, Attempt: 4},
	}
	provisioning := model.Provisioning{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}
	value := AppendChunkLayout(nil, 64)
	txn := Txn{Conditions: []Condition{{Key: "leader/token", Version: 12}, {Key: "job/e/wk-000001"}},
		Changes: []Change{{Key: "a"}, {Key: "b", Value: value}, {Key: "c", Value: value, Lease: 9}}}
	for name, b := range map[string][]byte{
		"worker-heartbeat-answer":       AppendHeartbeatResponse(nil, 41, commands),
		"worker-heartbeat-answer-empty": AppendHeartbeatResponse(nil, 41, nil),
		"worker-commands":               AppendCommands(nil, 41, 1<<63, commands),
		"cloud-provision":               AppendProvisioning(nil, provisioning),
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
		"full":             fullSpec(),
		"array-low":        leastSpec(model.Array, model.PriorityLow),
		"gang-normal":      leastSpec(model.Gang, model.PriorityNormal),
		"service-high":     leastSpec(model.Service, model.PriorityHigh),
		"array-production": leastSpec(model.Array, model.PriorityProduction),
	} {
		t.Run(name, func(t *testing.T) {
			got, err := DecodeJob(golden.CheckMessagePack(t, "submission-"+name, AppendJob(nil, s)))
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, name, got, s)
		})
	}
	b := golden.CheckMessagePack(t, "submission-awaits", submissionWithDependencies(t))
	got, err := DecodeJob(b)
	if err != nil {
		t.Fatal(err)
	}
	want := dependingOn(leastSpec(model.Array, model.PriorityLow), "wk-000007", "wk-000008")
	golden.Equal(t, "submission-awaits", got, want)
	if id, err := DecodeJobID(b); err != nil || id != "wk-000001" {
		t.Errorf("the job's id: got %q, %v, want wk-000001", id, err)
	}
}

func submissionWithDependencies(t *testing.T) []byte {
	t.Helper()
	return appendPairs(t, nil, pairs{
		"ref", "wk-000001", "jobclass", "c", "owner", "t", "shape", "array", "rank", "idle", "rows", uint64(1),
		"cores", 0.5, "cards", 0.0, "memoryGb", 0.0, "breeds", nil, "field", nil, "oneZone", false,
		"scatter", false, "loaners", false, "seed", "", "imageGb", 0.0, "expectS", 0.0, "markS", 0.0,
		"storeS", 0.0, "dueS", nil, "awaits", []any{"wk-000008", "wk-000007", "wk-000008"},
	})
}

// receivedMessage is a message as it is sent from outside, and what is to be read of it.
type receivedMessage struct {
	name string
	sent any
	read func(b []byte) (any, error)
	want any
}

// Messages that the controllers only read: the file holds the published form.
func TestReceivedMessagesAreRead(t *testing.T) {
	for _, messages := range [][]receivedMessage{workerMessages(), cloudMessages(), stateMessages()} {
		for _, c := range messages {
			t.Run(c.name, func(t *testing.T) {
				got, err := c.read(golden.CheckMessagePack(t, "received-"+c.name, appendPairs(t, nil, c.sent)))
				if err != nil {
					t.Fatal(err)
				}
				golden.Equal(t, c.name, got, c.want)
			})
		}
	}
}

func workerMessages() []receivedMessage {
	task := func(status string, more ...any) pairs {
		return append(pairs{"row", "wk-000412/3", "try", uint64(2), "status", status}, more...)
	}
	exited := func(cause string) pairs { return task("exited", "cause", cause, "saved", true) }
	read := func(p model.Phase) model.TaskStatus {
		return model.TaskStatus{Task: goldenTask, Attempt: 2, Phase: p}
	}
	readExited := func(c model.ExitCause) model.TaskStatus {
		return model.TaskStatus{
			Task: goldenTask, Attempt: 2, Phase: model.PhaseExited, Cause: c, Checkpointed: true,
		}
	}
	sent := pairs{
		"tiller", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true,
		"shift", uint64(1 << 63), "tick", uint64(88), "baton", uint64(41), "recallS", 7.5, "rows", []any{
			task("pulling"), task("gathering"), task("running"), task("saving"),
			exited("done"), exited("halted"), exited("mates_gone"), exited("incomplete"), exited("error"),
			exited("no_room"), exited("busy"), exited("no_such"), exited("unheard of"),
		},
	}
	want := &model.Heartbeat{
		Machine:            "n-000231",
		Addr:               "10.1.0.232:9000",
		Type:               "g8",
		Zone:               "a",
		Spot:               true,
		Epoch:              1 << 63,
		Seq:                88,
		FencingToken:       41,
		InterruptionNotice: true,
		InterruptionIn:     7500 * time.Millisecond,
		Tasks: []model.TaskStatus{
			read(model.PhaseFetching),
			read(model.PhaseWaiting),
			read(model.PhaseRunning),
			read(model.PhaseCheckpointing),
			readExited(model.CauseDone),
			readExited(model.CauseStopped),
			readExited(model.CauseGangMemberLost),
			readExited(model.CauseGangIncomplete),
			readExited(model.CauseError),
			readExited(model.CauseNoCapacity),
			readExited(model.CauseAttemptConflict),
			readExited(model.CauseUnknownJob),
			readExited(model.CauseError),
		},
	}
	return []receivedMessage{{"worker-heartbeat", sent, decoder(DecodeHeartbeat), want}}
}

func cloudMessages() []receivedMessage {
	type list struct {
		Machines []model.MachineInfo
		More     bool
	}
	readList := func(b []byte) (any, error) {
		machines, more, err := DecodeMachineList(b)
		return list{machines, more}, err
	}
	catalog := pairs{"breeds", []any{pairs{
		"label", "g8", "cores", 8.0, "cards", 1.0, "memoryGb", 64.0, "localGb", 100.0, "fetchGbPerS", 0.25,
		"price", 3.5, "lowPrice", 1.25, "startupS", 42.5, "fields", []any{"a", "b"},
	}}}
	types := []model.MachineType{{
		Name:             "g8",
		Capacity:         model.Resources{CPU: 8, GPU: 1, MemGB: 64},
		CacheGB:          100,
		FetchGBPerS:      0.25,
		PricePerHour:     3.5,
		SpotPricePerHour: 1.25,
		BootTime:         42500 * time.Millisecond,
		Zones:            []string{"a", "b"},
	}}
	page := pairs{"more", true, "tillers", []any{
		pairs{"ref", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true,
			"status", "running", "heldS", 60.5},
		pairs{"ref", "n-000232", "status", "starting"},
		pairs{"ref", "n-000233", "status", "failed"},
	}}
	running := model.MachineInfo{
		Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Age: 60500 * time.Millisecond,
	}
	machines := []model.MachineInfo{running, {Name: "n-000232", Booting: true}, {Name: "n-000233", Failed: true}}
	names := []string{"n-000231", "n-000232"}
	return []receivedMessage{
		{"cloud-catalog", catalog, decoder(DecodeCatalog), types},
		{"cloud-provisioned", pairs{"tillers", []any{"n-000231", "n-000232"}}, decoder(DecodeMachineNames), names},
		{"cloud-machines", page, readList, list{machines, true}},
	}
}

func stateMessages() []receivedMessage {
	value := AppendChunkLayout(nil, 64)
	layout := pairs{"tasks", uint64(64)}
	entry := pairs{"k", "layout/numbered", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)}
	keys := pairs{"epoch", uint64(77), "more", true, "entries", []any{
		pairs{"k", "layout/numbered", "value", layout, "stamp", uint64(12)},
	}}
	changes := pairs{"epoch", uint64(77), "log", []any{
		pairs{"write", "a", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)},
		pairs{"remove", "b", "stamp", uint64(13)},
	}}
	return []receivedMessage{
		{"state-entry", entry, decoder(DecodeEntry),
			Entry{Key: "layout/numbered", Value: value, Version: 12, Lease: 9}},
		{"state-keys", keys, decoder(DecodePage), Page{
			Entries:  []Entry{{Key: "layout/numbered", Value: value, Version: 12}},
			More:     true,
			Revision: 77,
		}},
		{"state-changes", changes, decoder(DecodePage), Page{
			Entries: []Entry{
				{Key: "a", Value: value, Version: 12, Lease: 9},
				{Key: "b", Version: 13, Removed: true},
			},
			Revision: 77,
		}},
		{"state-committed", pairs{"epoch", uint64(77)}, decoder(DecodeRevision), uint64(77)},
		{"state-lease-granted", pairs{"tenancy", uint64(9)}, decoder(DecodeLeaseID), uint64(9)},
	}
}
