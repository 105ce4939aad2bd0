package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/store"
)

// taskGroup runs a controller's goroutines. Run sets its fields before it starts the first one; ctx ends
// all of them, and Run waits for them.
type taskGroup struct {
	group *errgroup.Group
	ctx   context.Context
}

// spawn runs one piece of input or output beside the event loop.
func (t *taskGroup) spawn(f func()) {
	t.group.Go(func() error {
		f()
		return nil
	})
}

// serve runs a server. One that ends without an error was shut down, so the reason is the context's.
func (t *taskGroup) serve(run func() error) {
	t.group.Go(func() error {
		if err := run(); err != nil {
			return err
		}
		return t.ctx.Err()
	})
}

// onShutdown runs f once the context has ended.
func (t *taskGroup) onShutdown(f func() error) {
	t.group.Go(func() error {
		<-t.ctx.Done()
		return f()
	})
}

// running reports whether the context has not ended yet.
func (t *taskGroup) running() bool { return t.ctx.Err() == nil }

// sleep waits for d, or until the context ends.
func (t *taskGroup) sleep(d time.Duration) { store.Sleep(t.ctx, d) }
