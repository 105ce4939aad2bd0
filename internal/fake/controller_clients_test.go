package fake

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/worker"
)

func TestDirectCommandsAreAnsweredAsTheNetworkDelivers(t *testing.T) {
	tests := []struct {
		name          string
		prepare       func(*World, *Worker)
		epochOffset   uint64 // added to the worker's current epoch
		wantExecuted  bool
		wantNotSent   bool
		wantHeartbeat bool
		wantHeld      int
	}{
		{name: "delivered", wantExecuted: true, wantHeartbeat: true},
		{name: "another epoch", epochOffset: 1, wantNotSent: true, wantHeartbeat: true},
		{name: "answer lost", prepare: setDelivery(CommandAnswerLost)},
		{name: "dropped", prepare: setDelivery(CommandDropped)},
		{name: "delayed", prepare: setDelivery(CommandDelayed), wantHeld: 1},
		{name: "held", prepare: func(w *World, _ *Worker) { w.HoldCommands = true }, wantHeld: 1},
		{name: "hung", prepare: func(_ *World, target *Worker) { target.Hung = true }, wantHeld: 1},
		{name: "partitioned", prepare: func(_ *World, target *Worker) { target.Partitioned = true }},
		{name: "inbound blocked", prepare: func(_ *World, target *Worker) { target.InboundBlocked = true }},
		{name: "not leading", prepare: func(w *World, _ *Worker) { w.Leader().depose() }},
		{name: "no such machine", prepare: func(w *World, target *Worker) { delete(w.Workers, target.Name) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newDeployment(t, 2)
			leader, target := w.Leader(), w.Workers[w.WorkerNames()[0]]
			if test.prepare != nil {
				test.prepare(w, target)
			}
			client := workerClient{leader, target.Name}
			reply := client.Send("", leader.fencingToken, target.Epoch+test.epochOffset, nil, false)
			checkReply(t, reply, test.wantExecuted, test.wantNotSent, test.wantHeartbeat)
			if got := len(w.HeldCommands); got != test.wantHeld {
				t.Errorf("held commands: got %d, want %d", got, test.wantHeld)
			}
		})
	}
}

// setDelivery makes the network treat all direct commands from now on in the given way.
func setDelivery(delivery Delivery) func(*World, *Worker) {
	return func(w *World, _ *Worker) { w.NextDelivery = func() Delivery { return delivery } }
}

func checkReply(t *testing.T, reply worker.Reply, executed, notSent, heartbeat bool) {
	t.Helper()
	if reply.Executed != executed || reply.NeverExecuted != notSent || (reply.Heartbeat != nil) != heartbeat {
		t.Errorf("reply: got %+v, want executed=%v, not sent=%v, with a heartbeat=%v", reply, executed, notSent, heartbeat)
	}
}

func TestProvisionReportsWhatTheCloudDid(t *testing.T) {
	tests := []struct {
		name         string
		prepare      func(*World)
		wantMachines int
		wantRefused  bool
		wantErr      bool
	}{
		{name: "provisioned", prepare: func(*World) {}, wantMachines: 2},
		{name: "exhausted", prepare: func(w *World) { w.cloudExhausted = true }, wantRefused: true},
		{name: "no capacity", prepare: func(w *World) { w.Capacity = 1 }, wantRefused: true},
		{name: "answer lost", prepare: func(w *World) { w.CloudAnswersLost = true }, wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newDeployment(t, 2)
			test.prepare(w)
			machines, refused, err := cloudClient{w}.Provision(model.Provisioning{Name: "p", Count: 2})
			if len(machines) != test.wantMachines || refused != test.wantRefused || (err != nil) != test.wantErr {
				t.Errorf("provisioning: got %q, refused=%v, error %v, want %d machines, refused=%v, an error=%v",
					machines, refused, err, test.wantMachines, test.wantRefused, test.wantErr)
			}
		})
	}
}

func TestUnreadableTokenCountsAsUnchanged(t *testing.T) {
	w := newDeployment(t, 2)
	leader := w.Leader()
	for _, test := range []struct {
		name         string
		readsBlocked bool
		version      uint64
		want         bool
	}{
		{name: "same version", version: leader.tokenVersion, want: true},
		{name: "another version", version: leader.tokenVersion + 1, want: false},
		{name: "unreadable", readsBlocked: true, version: leader.tokenVersion + 1, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			leader.ReadsBlocked = test.readsBlocked
			unchanged, err := leader.stateClient().TokenUnchanged(context.Background(), test.version)
			if unchanged != test.want || err != nil {
				t.Errorf("token unchanged: got %v, error %v, want %v and no error", unchanged, err, test.want)
			}
		})
	}
}
