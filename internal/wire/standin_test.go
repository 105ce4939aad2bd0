package wire

import (
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/model"
)

// The encoding of messages that simulators send must not change, and controllers must decode them.
func TestMessagesOfStandInsKeepTheirBytes(t *testing.T) {
	task := model.TaskID{Job: "wk-000412", Index: 3}
	heartbeat := &model.Heartbeat{
		Machine:      "n-000231",
		Addr:         "10.1.0.232:9000",
		Type:         "g8",
		Zone:         "a",
		Spot:         true,
		Epoch:        1 << 63,
		Seq:          88,
		FencingToken: 41,
	}
	for phase := model.PhaseFetching; phase < model.PhaseExited; phase++ {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{Task: task, Attempt: 2, Phase: phase})
	}
	for cause := model.CauseDone; cause <= model.CauseUnknownJob; cause++ {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{
			Task:         task,
			Attempt:      3,
			Phase:        model.PhaseExited,
			Cause:        cause,
			Checkpointed: true,
		})
	}
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
	machines := []model.MachineInfo{
		{
			Name: "n-000231",
			Addr: "10.1.0.232:9000",
			Type: "g8",
			Zone: "a",
			Spot: true,
			Age:  60500 * time.Millisecond,
		},
		{Name: "n-000232", Booting: true},
		{Name: "n-000233", Failed: true},
	}
	for _, c := range []struct {
		name string
		sent []byte
		read func(b []byte) (any, error)
		want any
	}{
		{"stand-in-heartbeat", AppendHeartbeat(nil, heartbeat), func(b []byte) (any, error) {
			return DecodeHeartbeat(b)
		}, heartbeat},
		{"stand-in-catalog", AppendCatalog(nil, types), func(b []byte) (any, error) {
			return DecodeCatalog(b)
		}, types},
		{"stand-in-machines", AppendMachineList(nil, machines, true), func(b []byte) (any, error) {
			list, _, err := DecodeMachineList(b)
			return list, err
		}, machines},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.read(golden.CheckMessagePack(t, c.name, c.sent))
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, c.name, got, c.want)
		})
	}
}

// Simulators must decode the messages that controllers send.
func TestStandInsReadMessagesOfControllers(t *testing.T) {
	task := model.TaskID{Job: "wk-000412", Index: 3}
	commands := []model.Command{
		{Op: model.OpLaunch, Task: task, Attempt: 2},
		{Op: model.OpStop, Task: task, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: task, Attempt: 4},
	}
	got, err := DecodeCommands(AppendCommands(nil, 41, 1<<63, commands))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "commands", got, CommandMessage{FencingToken: 41, Epoch: 1 << 63, Commands: commands})
	request := model.Provisioning{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}
	decoded, err := DecodeProvisioning(AppendProvisioning(nil, request))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "provisioning request", decoded, request)
	if got := DecodeLeader(AppendLeader(nil, "tiller-1")); got != "tiller-1" {
		t.Errorf("DecodeLeader: got %q, want tiller-1", got)
	}
	for state := StateQueued; state <= StateCancelled; state++ {
		if got := DecodeJobState(AppendJobState(nil, "wk-000412", state)); got != state {
			t.Errorf("a job's state: got %v, want %v", got, state)
		}
	}
}

// Both sides of the protocols must agree on each message.
func TestStandInMessagesRoundTrip(t *testing.T) {
	heartbeat := &model.Heartbeat{
		Machine:      "n-1",
		Addr:         "127.64.0.1:9000",
		Type:         "plain-8",
		Zone:         "a",
		Epoch:        2,
		Seq:          7,
		FencingToken: 41,
		Tasks: []model.TaskStatus{
			{
				Task:         model.TaskID{Job: "wk-000001", Index: 3},
				Attempt:      9,
				Phase:        model.PhaseExited,
				Cause:        model.CauseGangMemberLost,
				Checkpointed: true,
			},
			{Task: model.TaskID{Job: "wk-000002"}, Attempt: 1, Phase: model.PhaseWaiting},
		},
	}
	got, err := DecodeHeartbeat(AppendHeartbeat(nil, heartbeat))
	if err != nil || got.Addr != heartbeat.Addr || got.Epoch != 2 || got.Seq != 7 || got.FencingToken != 41 ||
		len(got.Tasks) != 2 ||
		got.Tasks[0] != heartbeat.Tasks[0] ||
		got.Tasks[1] != heartbeat.Tasks[1] {
		t.Errorf("heartbeat: got %+v, error %v; want %+v and none", got, err, heartbeat)
	}
	commands := []model.Command{
		{Op: model.OpLaunch, Task: model.TaskID{Job: "wk-000001", Index: 4}, Attempt: 5},
		{Op: model.OpStop, Task: model.TaskID{Job: "wk-000001"}, Attempt: 6, GracePeriod: 10 * time.Second},
	}
	m, err := DecodeCommands(AppendCommands(nil, 41, 2, commands))
	if err != nil || m.FencingToken != 41 || m.Epoch != 2 || len(m.Commands) != 2 ||
		m.Commands[0] != commands[0] ||
		m.Commands[1] != commands[1] {
		t.Errorf("commands: got %+v, error %v; want %+v and none", m, err, commands)
	}
	named, none := DecodeLeader(AppendLeader(nil, "tiller-2")), DecodeLeader(AppendLeader(nil, ""))
	if named != "tiller-2" || none != "" {
		t.Errorf("DecodeLeader: got %q and %q, want tiller-2 and none", named, none)
	}
	if got := DecodeJobState(AppendJobState(nil, "wk-000001", StateCancelled)); got != StateCancelled {
		t.Errorf("a job's state: got %v, want %v", got, StateCancelled)
	}
	types := []model.MachineType{
		{Name: "gpu-16", Capacity: model.Resources{CPU: 16, GPU: 8, MemGB: 128}, Zones: []string{"a", "b"}},
		{Name: "plain-8", Capacity: model.Resources{CPU: 8, MemGB: 32}, Zones: []string{"a", "b"}},
	}
	if decoded, err := DecodeCatalog(AppendCatalog(nil, types)); err != nil || len(decoded) != 2 ||
		decoded[1].Capacity != types[1].Capacity ||
		len(decoded[0].Zones) != 2 {
		t.Errorf("catalog: got %+v, error %v; want %+v and none", decoded, err, types)
	}
	request := model.Provisioning{Name: "r-1", Type: "gpu-16", Zone: "a", Spot: true, Count: 3}
	if decoded, err := DecodeProvisioning(AppendProvisioning(nil, request)); err != nil || decoded != request {
		t.Errorf("provisioning request: got %+v, error %v; want %+v and none", decoded, err, request)
	}
}

func TestStandInsRejectMalformedMessages(t *testing.T) {
	command := func(op, task string) []byte {
		b := msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(nil, 1), workerCommands), 1)
		return appendString(appendString(msgp.AppendMapHeader(b, 2), workerCommandOp, op), workerTask, task)
	}
	for name, b := range map[string][]byte{
		"not a map":            {0x01},
		"an unknown operation": command("dance", "wk-000001/1"),
		"a task without index": command(commandLaunch, "wk-000001"),
	} {
		if got, err := DecodeCommands(b); err == nil {
			t.Errorf("commands with %s: got %+v, want an error", name, got)
		}
	}
	for name, p := range map[string]model.Provisioning{
		"no name":           {Count: 1},
		"no machines":       {Name: "r-1"},
		"too many machines": {Name: "r-1", Count: maxMachinesPerRequest + 1},
	} {
		if got, err := DecodeProvisioning(AppendProvisioning(nil, p)); err == nil {
			t.Errorf("provisioning request with %s: got %+v, want an error", name, got)
		}
	}
}
