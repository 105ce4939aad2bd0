package store_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// failingTransport fails each request with the same error.
type failingTransport struct{ err error }

func (f failingTransport) Call(string, string, []byte, time.Duration) ([]byte, error) {
	return nil, f.err
}

// A caller must be able to tell from the error of a transaction, however it is wrapped, whether the transaction may
// still be executed.
func TestCommitErrorTellsWhetherItMayBeExecuted(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name          string
		ctx           context.Context
		err           error // of the transport
		conflict      bool
		neverExecuted bool
		is            error // another error that must be found in the result, or nil
	}{
		{name: "failed condition", err: &rpc.StatusError{Status: 409}, conflict: true},
		{name: "malformed", err: &rpc.StatusError{Status: 400}, neverExecuted: true, is: store.ErrRejected},
		{name: "unavailable", err: &rpc.StatusError{Status: 503}, neverExecuted: true},
		{name: "not sent", err: rpc.ErrNotSent, neverExecuted: true, is: rpc.ErrNotSent},
		{name: "no answer", err: io.ErrUnexpectedEOF, is: io.ErrUnexpectedEOF},
		{name: "rate limited", ctx: cancelled, neverExecuted: true, is: store.ErrRateLimited},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := failingTransport{c.err}
			client := store.NewWithTransports(transport, transport, time.Second)
			ctx := c.ctx
			if ctx == nil {
				ctx = context.Background()
			}
			_, ok, err := client.Commit(ctx, &wire.Txn{}, false)
			if c.conflict {
				if ok || err != nil {
					t.Errorf("got ok=%v, error %v; want false and none", ok, err)
				}
				return
			}
			var commitErr *store.CommitError
			if ok || !errors.As(err, &commitErr) {
				t.Fatalf("got ok=%v, error %v; want false and a CommitError", ok, err)
			}
			if got := errors.Is(err, store.ErrNotExecuted); got != c.neverExecuted {
				t.Errorf("errors.Is(%v, ErrNotExecuted): got %v, want %v", err, got, c.neverExecuted)
			}
			if c.is != nil && !errors.Is(err, c.is) {
				t.Errorf("got error %v, want one that is %v", err, c.is)
			}
		})
	}
}

// A failed read must not be ErrNotExecuted, since that error is about a transaction.
func TestReadErrorIsNotErrNotExecuted(t *testing.T) {
	for _, cause := range []error{rpc.ErrNotSent, &rpc.StatusError{Status: 503}, io.EOF} {
		transport := failingTransport{cause}
		client := store.NewWithTransports(transport, transport, time.Second)
		_, found, err := client.Get(context.Background(), "leader/token")
		if found || !errors.Is(err, cause) || errors.Is(err, store.ErrNotExecuted) {
			t.Errorf("got found=%v, error %v; want false, and %v but not ErrNotExecuted", found, err, cause)
		}
	}
}
