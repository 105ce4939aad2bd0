package effects_test

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/worker"
)

func TestCommitOutcomes(t *testing.T) {
	rejected := errors.Join(store.ErrRejected, store.ErrNotExecuted)
	tests := []struct {
		name       string
		services   services
		want       reconciler.Outcome
		wantFenced bool
	}{
		{"committed", services{ok: true, version: 5}, reconciler.OutcomeOK, false},
		{"rejected permanently", services{err: rejected}, reconciler.OutcomeRejected, false},
		{
			"not executed",
			services{err: &store.CommitError{NeverExecuted: true, Err: errConnectionLost}},
			reconciler.OutcomeNotSent,
			false,
		},
		{"outcome unknown", services{err: &store.CommitError{Err: errConnectionLost}}, reconciler.OutcomeUnknown, false},
		{"one of its own conditions fails", services{}, reconciler.OutcomeRefused, false},
		{"another leader has taken over", services{tokenChanged: true}, reconciler.OutcomeRefused, true},
		{"refused, and the token cannot be read", services{tokenErr: errConnectionLost}, reconciler.OutcomeUnknown, false},
	}
	changes := []record.Change{{Kind: record.PutTasks, Job: "j"}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &test.services
			got := s.executor(t).Execute(t.Context(), reconciler.Commit{Changes: changes})
			want := reconciler.CommitCompleted{Changes: changes, Outcome: test.want, Version: s.version}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			checkFenced(t, s, test.wantFenced)
		})
	}
}

func TestFenceOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		services   services
		want       effects.FenceResult
		wantFenced bool
	}{
		{
			name:     "token rewritten",
			services: services{ok: true, version: 12},
			want:     effects.FenceResult{Outcome: reconciler.OutcomeOK, TokenVersion: 12},
		},
		{
			name:       "another leader has taken over",
			services:   services{},
			want:       effects.FenceResult{Outcome: reconciler.OutcomeRefused},
			wantFenced: true,
		},
		{
			name:     "no answer",
			services: services{err: errConnectionLost},
			want:     effects.FenceResult{Outcome: reconciler.OutcomeUnknown},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &test.services
			if got := s.executor(t).Fence(t.Context()); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			checkFenced(t, s, test.wantFenced)
		})
	}
}

func TestCommandOutcomes(t *testing.T) {
	heartbeat := &model.Heartbeat{}
	tests := []struct {
		name  string
		reply worker.Reply
		want  reconciler.Outcome
	}{
		{"executed", worker.Reply{Executed: true, Heartbeat: heartbeat}, reconciler.OutcomeOK},
		{"executed, unreadable heartbeat", worker.Reply{Executed: true, Err: errConnectionLost}, reconciler.OutcomeOK},
		{"connection quota exhausted", worker.Reply{NeverExecuted: true, Err: connquota.ErrQuotaExhausted},
			reconciler.OutcomeNotSent},
		{"refused", worker.Reply{NeverExecuted: true, Heartbeat: heartbeat, Err: errConnectionLost},
			reconciler.OutcomeRefused},
		{"no answer", worker.Reply{Err: errConnectionLost}, reconciler.OutcomeUnknown},
	}
	effect := reconciler.SendCommands{
		Machine:  "m",
		Epoch:    3,
		Commands: []model.Command{{Op: model.OpLaunch}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &services{mayAct: true, reply: test.reply}
			got := s.executor(t).Execute(t.Context(), effect)
			want := reconciler.CommandCompleted{
				Machine:   "m",
				Epoch:     3,
				Commands:  effect.Commands,
				Outcome:   test.want,
				Heartbeat: test.reply.Heartbeat,
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			checkCalls(t, s, "may act", "send")
		})
	}
}

func TestProvisionOutcomes(t *testing.T) {
	tests := []struct {
		name         string
		services     services
		want         reconciler.Outcome
		wantMachines []string
	}{
		{"provisioned", services{provisionedMachines: []string{"m"}}, reconciler.OutcomeOK, []string{"m"}},
		{"refused", services{cloudRefused: true, err: errConnectionLost}, reconciler.OutcomeRefused, nil},
		{"no answer", services{err: errConnectionLost}, reconciler.OutcomeUnknown, nil},
	}
	request := model.Provisioning{Name: "p"}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &test.services
			s.mayProvision = true
			got := s.executor(t).Execute(t.Context(), reconciler.Provision{Provisioning: request})
			want := reconciler.ProvisionCompleted{
				Provisioning: request,
				Outcome:      test.want,
				Machines:     test.wantMachines,
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			checkCalls(t, s, "wait", "may provision", "provision")
		})
	}
}

func TestReleaseOutcomes(t *testing.T) {
	tests := map[string]struct {
		err  error
		want reconciler.Outcome
	}{
		"released":  {nil, reconciler.OutcomeOK},
		"no answer": {errConnectionLost, reconciler.OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &services{mayProvision: true, err: test.err}
			got := s.executor(t).Execute(t.Context(), reconciler.Release{Machines: []string{"m"}})
			want := reconciler.ReleaseCompleted{Machines: []string{"m"}, Outcome: test.want}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			checkCalls(t, s, "wait", "may provision", "release")
		})
	}
}

func TestRequestWithoutLeaseDoesNotLeave(t *testing.T) {
	tests := []struct {
		name      string
		services  services
		effect    reconciler.Effect
		want      reconciler.Event
		wantCalls []string
	}{
		{
			name:      "commands",
			effect:    reconciler.SendCommands{Machine: "m"},
			want:      reconciler.CommandCompleted{Machine: "m", Outcome: reconciler.OutcomeNotSent},
			wantCalls: []string{"may act"},
		},
		{
			name:      "provisioning",
			effect:    reconciler.Provision{},
			want:      reconciler.ProvisionCompleted{Outcome: reconciler.OutcomeUnknown},
			wantCalls: []string{"wait", "may provision"},
		},
		{
			name:      "provisioning, rate limiter returns an error",
			services:  services{mayProvision: true, waitErr: errConnectionLost},
			effect:    reconciler.Provision{},
			want:      reconciler.ProvisionCompleted{Outcome: reconciler.OutcomeUnknown},
			wantCalls: []string{"wait"},
		},
		{
			name:      "release",
			effect:    reconciler.Release{Machines: []string{"m"}},
			want:      reconciler.ReleaseCompleted{Machines: []string{"m"}, Outcome: reconciler.OutcomeUnknown},
			wantCalls: []string{"wait", "may provision"},
		},
		{
			name:      "release, rate limiter returns an error",
			services:  services{mayProvision: true, waitErr: errConnectionLost},
			effect:    reconciler.Release{Machines: []string{"m"}},
			want:      reconciler.ReleaseCompleted{Machines: []string{"m"}, Outcome: reconciler.OutcomeUnknown},
			wantCalls: []string{"wait"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &test.services
			if got := s.executor(t).Execute(t.Context(), test.effect); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			checkCalls(t, s, test.wantCalls...)
		})
	}
}

func TestReadsAreAnsweredWithWhatCouldBeRead(t *testing.T) {
	tests := []struct {
		name     string
		services services
		effect   reconciler.Effect
		want     reconciler.Event
	}{
		{
			name:   "machine list",
			effect: reconciler.ListMachines{},
			want: reconciler.MachineListReceived{
				Machines:    []model.MachineInfo{{Name: "m"}},
				RequestedAt: testNow,
			},
		},
		{
			name:   "catalog",
			effect: reconciler.FetchCatalog{},
			want:   reconciler.CatalogReceived{Types: []model.MachineType{{Name: "t"}}},
		},
		{
			name:   "job ends",
			effect: reconciler.LookUpJobEnds{IDs: []string{"unknown"}},
			want:   reconciler.JobEndsReceived{},
		},
		{
			name:     "accounts",
			services: services{version: 5, unreadableAccount: "y"},
			effect:   reconciler.ReadAccounts{Teams: []string{"x", "y", "z"}},
			want: reconciler.AccountsReceived{
				Accounts: map[string]ledger.StoredAccount{"x": {Version: 5}, "z": {Version: 5}},
			},
		},
		{
			name:     "segments",
			services: services{version: 5},
			effect:   reconciler.ReadSegments{Team: "x"},
			want:     reconciler.SegmentsReceived{Team: "x", Segments: []ledger.StoredSegment{{Version: 5}}},
		},
		{
			name:   "heartbeat response is not executed",
			effect: reconciler.HeartbeatResponse{},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.services.executor(t).Execute(t.Context(), test.effect); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestElectionRequestsAreAnswered(t *testing.T) {
	expired := errors.Join(errConnectionLost, store.ErrLeaseExpired)
	tests := []struct {
		name     string
		services services
		execute  func(effects.ElectionExecutor, context.Context) election.Event
		want     election.Event
	}{
		{
			name:     "record read",
			services: services{version: 5, err: errConnectionLost},
			execute: func(x effects.ElectionExecutor, ctx context.Context) election.Event {
				return x.ReadRecord(ctx)
			},
			want: election.RecordRead{Record: election.Record{Held: true, Leader: "b"}, Err: errConnectionLost},
		},
		{
			name:     "lease granted",
			services: services{version: 5},
			execute: func(x effects.ElectionExecutor, _ context.Context) election.Event {
				return x.GrantLease(election.GrantLease{Duration: time.Second})
			},
			want: election.LeaseGranted{LeaseID: 5, Sent: testNow},
		},
		{
			name:     "leadership claimed",
			services: services{version: 5, ok: true},
			execute: func(x effects.ElectionExecutor, ctx context.Context) election.Event {
				return x.Claim(ctx, election.Claim{})
			},
			want: election.ClaimCompleted{OK: true, TokenVersion: 5},
		},
		{
			name: "lease renewed",
			execute: func(x effects.ElectionExecutor, _ context.Context) election.Event {
				return x.RenewLease(3)
			},
			want: election.LeaseRenewed{LeaseID: 3, Sent: testNow},
		},
		{
			name:     "lease expired",
			services: services{err: expired},
			execute: func(x effects.ElectionExecutor, _ context.Context) election.Event {
				return x.RenewLease(3)
			},
			want: election.LeaseRenewed{LeaseID: 3, Sent: testNow, Expired: true, Err: expired},
		},
		{
			name:     "renewal not answered",
			services: services{err: errConnectionLost},
			execute: func(x effects.ElectionExecutor, _ context.Context) election.Event {
				return x.RenewLease(3)
			},
			want: election.LeaseRenewed{LeaseID: 3, Sent: testNow, Err: errConnectionLost},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := effects.ElectionExecutor{
				Member: "a",
				State:  &test.services,
				Now:    func() time.Time { return testNow },
			}
			if got := test.execute(x, t.Context()); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
