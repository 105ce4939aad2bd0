package controller

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
	"github.com/glentiller/glentiller/internal/worker"
)

const testToken = 7

// newTestTerm returns a term of a leader with its own state service. No goroutine reads the inboxes of its
// event loop.
func newTestTerm(t *testing.T) (*leaderTerm, *fake.State) {
	t.Helper()
	state := fake.NewState(time.Now)
	client := store.NewWithTransports(state, state, time.Second)
	client.SetRateLimits(1e9, 1e9)
	state.Preload("leader/token", wire.AppendLeaderRecord(nil, testToken, "a"))
	entry, ok, err := client.Get(context.Background(), "leader/token")
	if err != nil || !ok {
		t.Fatalf("reading the fencing token's record: got found=%v, err=%v, want the record", ok, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	tasks := &taskGroup{}
	tasks.group, tasks.ctx = errgroup.WithContext(ctx)
	c := &Controller{
		platform: &config.Platform{Member: "a"},
		log:      discardLogger(),
		tasks:    tasks,
		loop:     newEventLoop(tasks, discardLogger()),
	}
	c.store = client
	lease := &leadershipLease{fencingToken: testToken, tokenVersion: entry.Version}
	lease.leaseUntil = time.Now().Add(time.Hour)
	lease.freshUntil = lease.leaseUntil
	c.lease.current.Store(lease)
	return &leaderTerm{Controller: c, fencingToken: testToken, tokenVersion: entry.Version}, state
}

func TestCommitOutcomeSaysWhetherItWasCarriedOut(t *testing.T) {
	overwriteToken := func(_ *leaderTerm, state *fake.State) {
		state.Preload("leader/token", wire.AppendLeaderRecord(nil, testToken+1, "b"))
	}
	tests := []struct {
		name       string
		before     func(*leaderTerm, *fake.State)
		change     record.Change
		want       reconciler.Outcome
		wantFenced bool
	}{
		{
			name:   "committed",
			change: record.Change{Kind: record.PutTasks, Job: "j"},
			want:   reconciler.OutcomeOK,
		},
		{
			name:   "a precondition of the change fails",
			change: record.Change{Kind: record.CompleteJob, Job: "j", Version: 99},
			want:   reconciler.OutcomeRefused,
		},
		{
			name:       "another leader has taken over",
			before:     overwriteToken,
			change:     record.Change{Kind: record.PutTasks, Job: "j"},
			want:       reconciler.OutcomeRefused,
			wantFenced: true,
		},
		{
			name:   "the request rate limit is exhausted",
			before: exhaustRateLimit,
			change: record.Change{Kind: record.PutTasks, Job: "j"},
			want:   reconciler.OutcomeNotSent,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			term, state := newTestTerm(t)
			if test.before != nil {
				test.before(term, state)
			}
			ev, ok := term.execute(reconciler.Commit{Changes: []record.Change{test.change}}).(reconciler.CommitCompleted)
			if !ok || ev.Outcome != test.want {
				t.Errorf("got %v, want outcome %v", ev, test.want)
			}
			if got := len(term.loop.urgent) == 1; got != test.wantFenced {
				t.Errorf("got an event for the election=%v, want %v", got, test.wantFenced)
			}
		})
	}
}

// exhaustRateLimit sets the request rate to 0 and consumes the requests that the limiter still allows in a
// burst.
func exhaustRateLimit(term *leaderTerm, _ *fake.State) {
	term.store.SetRateLimits(0, 0)
	for term.execute(reconciler.Commit{}).(reconciler.CommitCompleted).Outcome != reconciler.OutcomeNotSent {
	}
}

func TestFenceReportsALostLeadership(t *testing.T) {
	term, state := newTestTerm(t)
	term.fence()
	if urgent, inbox := len(term.loop.urgent), len(term.loop.inbox); urgent != 0 || inbox != 1 {
		t.Errorf("current token: got %d urgent and %d messages, want 0 and 1", urgent, inbox)
	}
	state.Preload("leader/token", wire.AppendLeaderRecord(nil, testToken+1, "b"))
	term.fence()
	if urgent, inbox := len(term.loop.urgent), len(term.loop.inbox); urgent != 1 || inbox != 1 {
		t.Errorf("token of another leader: got %d urgent and %d messages, want 1 and 1", urgent, inbox)
	}
}

func TestEffectsNeedAValidLease(t *testing.T) {
	term, _ := newTestTerm(t)
	term.workers = worker.New(time.Second, nil)
	term.cloud = cloud.New("127.0.0.1:1", 1, time.Second, nil)
	term.cloud.SetRate(1e9)
	term.lease.clear()
	commands, ok := term.execute(reconciler.SendCommands{Machine: "m"}).(reconciler.CommandCompleted)
	if !ok || commands.Outcome != reconciler.OutcomeNotSent {
		t.Errorf("commands: got %v, want OutcomeNotSent", commands.Outcome)
	}
	provision, ok := term.execute(reconciler.Provision{}).(reconciler.ProvisionCompleted)
	if !ok || provision.Outcome != reconciler.OutcomeUnknown || provision.Machines != nil {
		t.Errorf("provisioning: got %v, want OutcomeUnknown", provision.Outcome)
	}
	release, ok := term.execute(reconciler.Release{Machines: []string{"m"}}).(reconciler.ReleaseCompleted)
	if !ok || release.Outcome != reconciler.OutcomeUnknown {
		t.Errorf("release: got %v, want OutcomeUnknown", release.Outcome)
	}
}

func TestProvisioningNeedsMoreThanVotes(t *testing.T) {
	term, _ := newTestTerm(t)
	if !term.mayProvision() {
		t.Error("with a lease: got no provisioning, want it allowed")
	}
	now := time.Now()
	term.Controller.lease.current.Store(&leadershipLease{
		fencingToken: testToken,
		leaseUntil:   now.Add(-time.Second),
		votesUntil:   now.Add(time.Hour),
		freshUntil:   now.Add(time.Hour),
	})
	if !term.mayAct() || term.mayProvision() {
		t.Errorf("on votes only: got mayAct=%v, mayProvision=%v, want true, false", term.mayAct(), term.mayProvision())
	}
}

func TestEffectWithoutLeaseIsNotStarted(t *testing.T) {
	term, _ := newTestTerm(t)
	term.lease.clear()
	term.perform(reconciler.Commit{Changes: []record.Change{{Kind: record.PutTasks, Job: "j"}}})
	if err := term.tasks.group.Wait(); err != nil || len(term.loop.inbox) != 0 {
		t.Errorf("got %d results and error %v, want none", len(term.loop.inbox), err)
	}
}

func TestEffectIsCompletedInItsOwnTermOnly(t *testing.T) {
	for name, termAdvanced := range map[string]bool{"the same term": false, "a later term": true} {
		t.Run(name, func(t *testing.T) {
			term, _ := newTestTerm(t)
			term.reconciler = reconciler.New(
				time.Now(), reconciler.Settings{}, testToken, &record.Snapshot{}, nil, discardLogger())
			term.perform(reconciler.Commit{Changes: []record.Change{{Kind: record.PutTasks, Job: "j"}}})
			if err := term.tasks.group.Wait(); err != nil || len(term.loop.inbox) != 1 {
				t.Fatalf("got %d results and error %v, want 1 result", len(term.loop.inbox), err)
			}
			if termAdvanced {
				term.Controller.term++
			}
			(<-term.loop.inbox)(time.Now())
			_, stepped := term.loop.hold.lastEvent.(reconciler.CommitCompleted)
			if want := !termAdvanced; stepped != want {
				t.Errorf("got the event passed to the reconciler=%v, want %v", stepped, want)
			}
		})
	}
}
