package scale

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// What the stand-ins send is what they sent before, and what the controllers read.
func TestMessagesOfStandInsKeepTheirBytes(t *testing.T) {
	task := model.TaskID{Job: "wk-000412", Index: 3}
	beat := &model.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 1 << 63, Seq: 88, FencingToken: 41}
	for phase := model.PhaseFetching; phase < model.PhaseExited; phase++ {
		beat.Tasks = append(beat.Tasks, model.TaskStatus{Task: task, Attempt: 2, Phase: phase})
	}
	for cause := model.CauseDone; cause <= model.CauseUnknownJob; cause++ {
		beat.Tasks = append(beat.Tasks, model.TaskStatus{Task: task, Attempt: 3, Phase: model.PhaseExited, Cause: cause, Checkpointed: true})
	}
	types := []model.MachineType{{Name: "g8", Capacity: model.Resources{CPU: 8, GPU: 1, MemGB: 64}, CacheGB: 100, FetchGBPerS: 0.25, PricePerHour: 3.5,
		SpotPricePerHour: 1.25, BootTime: 42500 * time.Millisecond, Zones: []string{"a", "b"}}}
	machines := []model.MachineInfo{{Name: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Age: 60500 * time.Millisecond},
		{Name: "n-000232", Booting: true}, {Name: "n-000233", Failed: true}}
	for _, c := range []struct {
		name string
		sent []byte
		read func(b []byte) (any, error)
		want any
	}{
		{"stand-in-heartbeat", appendHeartbeat(nil, beat), func(b []byte) (any, error) { return wire.DecodeHeartbeat(b) }, beat},
		{"stand-in-catalog", appendCatalog(nil, types), func(b []byte) (any, error) { return wire.DecodeCatalog(b) }, types},
		{"stand-in-machines", appendList(nil, machines, true), func(b []byte) (any, error) {
			list, _, err := wire.DecodeMachineList(b)
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

// What the controllers send is read by the stand-ins.
func TestStandInsReadMessagesOfControllers(t *testing.T) {
	task := model.TaskID{Job: "wk-000412", Index: 3}
	commands := []model.Command{{Op: model.OpLaunch, Task: task, Attempt: 2}, {Op: model.OpStop, Task: task, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: task, Attempt: 4}}
	got, err := decodeMessage(wire.AppendCommands(nil, 41, 1<<63, commands))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "commands", got, &commandMessage{token: 41, epoch: 1 << 63, commands: commands})
	request := model.Provisioning{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}
	read, err := decodeProvisioning(wire.AppendProvisioning(nil, request))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "a request for machines", read, request)
	if got := decodeLeader(wire.AppendLeader(nil, "tiller-1")); got != "tiller-1" {
		t.Errorf("the leader of a 421: got %q, want tiller-1", got)
	}
	for state := wire.StateQueued; state <= wire.StateCancelled; state++ {
		if got := decodeJobState(wire.AppendJobState(nil, "wk-000412", state)); got != state {
			t.Errorf("a job's state: got %v, want %v", got, state)
		}
	}
}
