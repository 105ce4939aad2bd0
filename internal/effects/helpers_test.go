package effects_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/worker"
)

const (
	testToken        = 7
	testTokenVersion = 11
)

var (
	errConnectionLost = errors.New("connection lost")
	testNow           = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// services is a fake of all clients. Its fields determine the results of the requests. It records most requests in
// calls.
type services struct {
	version             uint64
	ok                  bool
	err                 error
	tokenChanged        bool
	tokenErr            error
	provisionedMachines []string
	cloudRefused        bool
	waitErr             error
	reply               worker.Reply
	mayAct              bool
	mayProvision        bool
	calls               []string
	fenced              []election.Fenced
	unreadableAccount   string // the team whose account cannot be read; empty if all can be read
}

func (s *services) recordCall(name string) { s.calls = append(s.calls, name) }

func (s *services) CommitFenced(context.Context, uint64, []record.Change) (uint64, bool, error) {
	s.recordCall("commit")
	return s.version, s.ok, s.err
}

func (s *services) TokenUnchanged(context.Context, uint64) (bool, error) {
	s.recordCall("token")
	return !s.tokenChanged, s.tokenErr
}

func (s *services) RewriteToken(context.Context, string, uint64, uint64) (uint64, bool, error) {
	s.recordCall("rewrite")
	return s.version, s.ok, s.err
}

func (s *services) Account(_ context.Context, team string) (ledger.StoredAccount, error) {
	if team == s.unreadableAccount {
		return ledger.StoredAccount{}, errConnectionLost
	}
	return ledger.StoredAccount{Version: s.version}, nil
}

func (s *services) Segments(context.Context, string, uint64, int) ([]ledger.StoredSegment, bool, error) {
	return []ledger.StoredSegment{{Version: s.version}}, true, s.err
}

func (s *services) Wait(context.Context) error {
	s.recordCall("wait")
	return s.waitErr
}

func (s *services) Provision(model.Provisioning) ([]string, bool, error) {
	s.recordCall("provision")
	return s.provisionedMachines, s.cloudRefused, s.err
}

func (s *services) Release([]string) error {
	s.recordCall("release")
	return s.err
}

func (s *services) ListMachines(context.Context) ([]model.MachineInfo, error) {
	return []model.MachineInfo{{Name: "m"}}, s.err
}

func (s *services) Catalog(context.Context) ([]model.MachineType, error) {
	return []model.MachineType{{Name: "t"}}, s.err
}

func (s *services) Send(string, uint64, uint64, []model.Command, bool) worker.Reply {
	s.recordCall("send")
	return s.reply
}

func (s *services) ReadLeaderRecord(context.Context) (election.Record, uint64, error) {
	return election.Record{Held: true, Leader: "b"}, s.version, s.err
}

func (s *services) GrantLease(time.Duration) (uint64, error) { return s.version, s.err }

func (s *services) ClaimLeadership(context.Context, string, election.Claim) (uint64, bool, error) {
	return s.version, s.ok, s.err
}

func (s *services) RenewLease(uint64) error { return s.err }

// executor returns an Executor whose clients are s.
func (s *services) executor(t *testing.T) *effects.Executor {
	t.Helper()
	state := fake.NewState(time.Now)
	client := store.NewWithTransports(state, state, time.Second)
	return &effects.Executor{
		Leadership: effects.Leadership{
			Member:       "a",
			FencingToken: testToken,
			TokenVersion: testTokenVersion,
			MayAct: func() bool {
				s.recordCall("may act")
				return s.mayAct
			},
			MayProvision: func() bool {
				s.recordCall("may provision")
				return s.mayProvision
			},
			ReportFenced: func(ev election.Fenced) { s.fenced = append(s.fenced, ev) },
		},
		State:   s,
		Jobs:    store.NewJobCache(client, 1, 1, store.Limits{}, func([]store.JobChange) {}, discardLogger()),
		Cloud:   s,
		Workers: s,
		Now:     func() time.Time { return testNow },
		Log:     discardLogger(),
	}
}

func checkCalls(t *testing.T, s *services, want ...string) {
	t.Helper()
	if !slices.Equal(s.calls, want) {
		t.Errorf("calls: got %q, want %q", s.calls, want)
	}
}

func checkFenced(t *testing.T, s *services, want bool) {
	t.Helper()
	var events []election.Fenced
	if want {
		events = []election.Fenced{{FencingToken: testToken}}
	}
	if !slices.Equal(s.fenced, events) {
		t.Errorf("ReportFenced: got events %v, want %v", s.fenced, events)
	}
}
