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

// fullSpec returns a job with every field set but the dependencies, which are not part of an encoded job: its record
// stores them separately.
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

func minimalSpec(shape model.Shape, priority model.Priority) *model.Spec {
	return &model.Spec{
		ID: "wk-000001", Class: "c", Team: "t", Shape: shape, Priority: priority, Tasks: 1,
		Demand: model.Resources{CPU: 0.5},
	}
}

func specWithDependencies(s *model.Spec, ids ...string) *model.Spec {
	s.Dependencies = ids
	return s
}

// sequentialUsage returns usage whose amounts are consecutive numbers, so that each has a different value.
func sequentialUsage(first uint64) ledger.Usage {
	var list []uint64
	for i := range uint64(13) {
		list = append(list, first+i)
	}
	return ledger.UsageFromNumbers(list)
}

func goldenUsage() []ledger.ClassUsage {
	return []ledger.ClassUsage{
		{Class: "serve", Usage: sequentialUsage(1)},
		{Class: "train", Usage: sequentialUsage(1 << 40)},
	}
}

// orderedMap is a MessagePack map given as alternating field names and values, so that the order of fields is fixed.
type orderedMap []any

// appendValue appends the MessagePack encoding of v. Tests use it to write messages with their published names,
// independently of the Append functions.
func appendValue(t *testing.T, b []byte, v any) []byte {
	t.Helper()
	switch v := v.(type) {
	case orderedMap:
		b = msgp.AppendMapHeader(b, uint32(len(v)/2))
		for i := 0; i < len(v); i += 2 {
			b = appendValue(t, msgp.AppendString(b, v[i].(string)), v[i+1])
		}
		return b
	case []any:
		b = msgp.AppendArrayHeader(b, uint32(len(v)))
		for _, item := range v {
			b = appendValue(t, b, item)
		}
		return b
	}
	b, err := msgp.AppendIntf(b, v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// decoder adapts a Decode function to the type of the decode fields below.
func decoder[T any](decode func(b []byte) (T, error)) func(b []byte) (any, error) {
	return func(b []byte) (any, error) { return decode(b) }
}

// storedRecord is an encoded record with the result that is expected from decoding it.
type storedRecord struct {
	name    string
	encoded []byte
	decode  func(b []byte) (any, error)
	want    any
}

// The encoding of stored records must not change: records that are already stored have to be readable by later
// versions, and during a rolling update by earlier ones too.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	for _, records := range [][]storedRecord{jobRecords(), memberRecords(), ledgerRecords()} {
		for _, c := range records {
			t.Run(c.name, func(t *testing.T) {
				got, err := c.decode(golden.CheckMessagePack(t, c.name, c.encoded))
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
	none, parts := DependencyParts{}, DependencyParts{Count: 3, Hash: "0123456789abcdef"}
	ids := []string{"wk-000007", "wk-000008"}
	minimal := minimalSpec(model.Array, model.PriorityLow)
	bits := []byte{0xff, 0x00, 0x5a}
	return []storedRecord{
		{"record-active", AppendActiveJob(nil, fullSpec(), goldenTime, nil, none), readActive,
			active{fullSpec(), goldenTime, none}},
		{"record-active-awaits", AppendActiveJob(nil, fullSpec(), goldenTime, ids, none), readActive,
			active{specWithDependencies(fullSpec(), ids...), goldenTime, none}},
		{"record-active-parts", AppendActiveJob(nil, fullSpec(), goldenTime, nil, parts), readActive,
			active{fullSpec(), goldenTime, parts}},
		{"record-active-least", AppendActiveJob(nil, minimal, goldenTime, nil, none), readActive,
			active{minimal, goldenTime, none}},
		{"record-awaits", AppendDependencyPart(nil, ids), decoder(DecodeDependencyPart), ids},
		{"record-ended-done", AppendEndedJob(nil, StateDone, 16, goldenTime), readEnded,
			ended{StateDone, 16, goldenTime}},
		{"record-ended-cancelled", AppendEndedJob(nil, StateCancelled, 16, goldenTime), readEnded,
			ended{StateCancelled, 16, goldenTime}},
		{"record-layout", AppendChunkLayout(nil, 16384), decoder(DecodeChunkLayout), 16384},
		{"record-finished-tasks", AppendFinishedTasks(nil, bits), decoder(DecodeFinishedTasks), bits},
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
		PrevLink:     "00ff",
		DecayedUsage: 1 << 50,
	}
	closed := ledger.Segment{
		Team:           "vision",
		First:          3,
		Last:           6,
		Unit:           ledger.Day,
		Start:          time.Unix(1_789_948_800, 0).UTC(),
		Usage:          goldenUsage(),
		PrevLink:       "00ff",
		LastMergedLink: "11ee",
		Hash:           "22dd",
	}
	interval := ledger.UnaccountedInterval{
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

// Versions without dependencies stored no end time in the records of ended jobs. These records must still be readable.
func TestEndedRecordWithoutTimeIsRead(t *testing.T) {
	stored := appendValue(t, nil, orderedMap{"end", "done", "n", uint64(16)})
	b := golden.CheckMessagePack(t, "record-ended-first-version", stored)
	s, tasks, at, err := DecodeEndedJob(b)
	if err != nil || s != StateDone || tasks != 16 || !at.IsZero() {
		t.Errorf("got %v, %d, %v, error %v; want done, 16, the zero time and none", s, tasks, at, err)
	}
}

// The encoding of messages that controllers send to workers, the cloud, the state service and users must not change.
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
			t.Errorf("name of job state %d: got %q, want %q", state, got, want)
		}
	}
	names, err := DecodeMachineNames(AppendMachineNames(nil, []string{"n-000231"}))
	if err != nil || len(names) != 1 || names[0] != "n-000231" {
		t.Errorf("DecodeMachineNames: got %q, error %v; want n-000231 and none", names, err)
	}
}

// The encoding of submissions must not change; records contain jobs in the same encoding. The cases cover every
// published name of a shape and of a priority.
func TestSubmissionsKeepTheirBytes(t *testing.T) {
	for name, s := range map[string]*model.Spec{
		"full":             fullSpec(),
		"array-low":        minimalSpec(model.Array, model.PriorityLow),
		"gang-normal":      minimalSpec(model.Gang, model.PriorityNormal),
		"service-high":     minimalSpec(model.Service, model.PriorityHigh),
		"array-production": minimalSpec(model.Array, model.PriorityProduction),
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
	want := specWithDependencies(minimalSpec(model.Array, model.PriorityLow), "wk-000007", "wk-000008")
	golden.Equal(t, "submission-awaits", got, want)
	if id, err := DecodeJobID(b); err != nil || id != "wk-000001" {
		t.Errorf("DecodeJobID: got %q, error %v; want wk-000001 and none", id, err)
	}
}

func submissionWithDependencies(t *testing.T) []byte {
	t.Helper()
	return appendValue(t, nil, orderedMap{
		"ref", "wk-000001", "jobclass", "c", "owner", "t", "shape", "array", "rank", "idle", "rows", uint64(1),
		"cores", 0.5, "cards", 0.0, "memoryGb", 0.0, "breeds", nil, "field", nil, "oneZone", false,
		"scatter", false, "loaners", false, "seed", "", "imageGb", 0.0, "expectS", 0.0, "markS", 0.0,
		"storeS", 0.0, "dueS", nil, "awaits", []any{"wk-000008", "wk-000007", "wk-000008"},
	})
}

// receivedMessage is a message in its published form with the result that is expected from decoding it.
type receivedMessage struct {
	name   string
	sent   any
	decode func(b []byte) (any, error)
	want   any
}

// Controllers must decode the published form of the messages that they only receive. The golden files hold that form.
func TestReceivedMessagesAreRead(t *testing.T) {
	for _, messages := range [][]receivedMessage{workerMessages(), cloudMessages(), stateMessages()} {
		for _, c := range messages {
			t.Run(c.name, func(t *testing.T) {
				got, err := c.decode(golden.CheckMessagePack(t, "received-"+c.name, appendValue(t, nil, c.sent)))
				if err != nil {
					t.Fatal(err)
				}
				golden.Equal(t, c.name, got, c.want)
			})
		}
	}
}

func workerMessages() []receivedMessage {
	task := func(status string, more ...any) orderedMap {
		return append(orderedMap{"row", "wk-000412/3", "try", uint64(2), "status", status}, more...)
	}
	exited := func(cause string) orderedMap { return task("exited", "cause", cause, "saved", true) }
	wantStatus := func(p model.Phase) model.TaskStatus {
		return model.TaskStatus{Task: goldenTask, Attempt: 2, Phase: p}
	}
	wantExited := func(c model.ExitCause) model.TaskStatus {
		return model.TaskStatus{
			Task: goldenTask, Attempt: 2, Phase: model.PhaseExited, Cause: c, Checkpointed: true,
		}
	}
	sent := orderedMap{
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
			wantStatus(model.PhaseFetching),
			wantStatus(model.PhaseWaiting),
			wantStatus(model.PhaseRunning),
			wantStatus(model.PhaseCheckpointing),
			wantExited(model.CauseDone),
			wantExited(model.CauseStopped),
			wantExited(model.CauseGangMemberLost),
			wantExited(model.CauseGangIncomplete),
			wantExited(model.CauseError),
			wantExited(model.CauseNoCapacity),
			wantExited(model.CauseAttemptConflict),
			wantExited(model.CauseUnknownJob),
			wantExited(model.CauseError),
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
	catalog := orderedMap{"breeds", []any{orderedMap{
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
	page := orderedMap{"more", true, "tillers", []any{
		orderedMap{"ref", "n-000231", "addr", "10.1.0.232:9000", "breed", "g8", "field", "a", "loaners", true,
			"status", "running", "heldS", 60.5},
		orderedMap{"ref", "n-000232", "status", "starting"},
		orderedMap{"ref", "n-000233", "status", "failed"},
	}}
	running := model.MachineInfo{
		Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Age: 60500 * time.Millisecond,
	}
	machines := []model.MachineInfo{running, {Name: "n-000232", Booting: true}, {Name: "n-000233", Failed: true}}
	names := []string{"n-000231", "n-000232"}
	return []receivedMessage{
		{"cloud-catalog", catalog, decoder(DecodeCatalog), types},
		{"cloud-provisioned", orderedMap{"tillers", []any{"n-000231", "n-000232"}}, decoder(DecodeMachineNames), names},
		{"cloud-machines", page, readList, list{machines, true}},
	}
}

func stateMessages() []receivedMessage {
	value := AppendChunkLayout(nil, 64)
	layout := orderedMap{"tasks", uint64(64)}
	entry := orderedMap{"k", "layout/numbered", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)}
	keys := orderedMap{"epoch", uint64(77), "more", true, "entries", []any{
		orderedMap{"k", "layout/numbered", "value", layout, "stamp", uint64(12)},
	}}
	changes := orderedMap{"epoch", uint64(77), "log", []any{
		orderedMap{"write", "a", "value", layout, "stamp", uint64(12), "tenancy", uint64(9)},
		orderedMap{"remove", "b", "stamp", uint64(13)},
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
		{"state-committed", orderedMap{"epoch", uint64(77)}, decoder(DecodeRevision), uint64(77)},
		{"state-lease-granted", orderedMap{"tenancy", uint64(9)}, decoder(DecodeLeaseID), uint64(9)},
	}
}
