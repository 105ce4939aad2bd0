package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/store"
)

// taskGroup runs a controller's goroutines. Run sets both fields before it starts the first goroutine.
// Cancelling ctx ends all goroutines, and Run waits for them.
type taskGroup struct {
	group *errgroup.Group
	ctx   context.Context
}

// spawn runs a single I/O operation outside the event loop.
func (t *taskGroup) spawn(f func()) {
	t.group.Go(func() error {
		f()
		return nil
	})
}

// serve runs a server. A server that returns no error was shut down, so the error of the context is reported
// instead.
func (t *taskGroup) serve(run func() error) {
	t.group.Go(func() error {
		if err := run(); err != nil {
			return err
		}
		return t.ctx.Err()
	})
}

// onShutdown runs f after the context is cancelled.
func (t *taskGroup) onShutdown(f func() error) {
	t.group.Go(func() error {
		<-t.ctx.Done()
		return f()
	})
}

// running reports whether the context has not been cancelled yet.
func (t *taskGroup) running() bool { return t.ctx.Err() == nil }

// sleep waits for d or until the context is cancelled.
func (t *taskGroup) sleep(d time.Duration) { store.Sleep(t.ctx, d) }
