package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys of the job records. A job moves from active to ended in one
// transaction and never back.
const (
	jobPrefix    = "job/"
	activePrefix = "job/a/"
	endedPrefix  = "job/e/"
)

// JobView is what is known of a job.
type JobView struct {
	State   wire.JobState // StateQueued for every unfinished job
	Spec    *model.Spec   // of an unfinished job
	At      time.Time
	Version uint64
	Tasks   int
}

// JobChange tells of a job that was accepted, or that has ended.
type JobChange struct {
	ID string
	JobView
}

// Jobs is this controller's view of the job records. It follows the changes,
// and can be brought up to the present for an answer that must not be older
// than what any other controller has told.
type Jobs struct {
	c      *Client
	log    *slog.Logger
	keep   int
	notify func([]JobChange)

	mu     sync.Mutex
	rev    uint64 // the view holds all changes up to here
	loaded bool
	active map[string]JobView
	ended  map[string]JobView
	fifo   []string // ended jobs, oldest first

	batch *syncBatch
	busy  bool
}

// syncBatch is one read that many answers wait for.
type syncBatch struct {
	done chan struct{}
	err  error
}

// NewJobs makes an empty view. notify is told of changes, in order, and must
// not call back.
func NewJobs(c *Client, keep int, notify func([]JobChange), log *slog.Logger) *Jobs {
	return &Jobs{c: c, log: log, keep: keep, notify: notify, active: map[string]JobView{}, ended: map[string]JobView{}}
}

// Run follows the changes until the context ends.
func (j *Jobs) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := j.follow(ctx); err != nil && ctx.Err() == nil {
			j.log.Debug("job records", "err", err)
			sleep(ctx, 300*time.Millisecond)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (j *Jobs) follow(ctx context.Context) error {
	j.mu.Lock()
	rev, loaded := j.rev, j.loaded
	j.mu.Unlock()
	if !loaded {
		return j.load(ctx)
	}
	p, err := j.c.Changes(ctx, jobPrefix, rev, watchTime)
	if err != nil {
		return j.failed(err)
	}
	j.apply(p)
	return nil
}

// watchTime is how long one watch waits for a change.
const watchTime = 10 * time.Second

// failed has the view read anew where its changes are not kept any more.
func (j *Jobs) failed(err error) error {
	if errors.Is(err, ErrTooOld) {
		j.mu.Lock()
		j.loaded = false
		j.mu.Unlock()
	}
	return err
}

// load reads all unfinished jobs. Ended ones are looked up when somebody asks.
func (j *Jobs) load(ctx context.Context) error {
	entries, rev, err := j.c.List(ctx, activePrefix)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	var changes []JobChange
	active := make(map[string]JobView, len(entries))
	for _, e := range entries {
		id := e.Key[len(activePrefix):]
		v, ok := j.active[id]
		if !ok {
			if v, ok = j.decode(e); !ok {
				continue
			}
			changes = append(changes, JobChange{id, v})
		}
		active[id] = v
	}
	for id := range j.active {
		if _, ok := active[id]; !ok {
			changes = append(changes, JobChange{id, JobView{State: wire.StateUnknown}})
		}
	}
	j.active, j.rev, j.loaded = active, rev, true
	j.notify(changes)
	return nil
}

func (j *Jobs) decode(e wire.Entry) (JobView, bool) {
	s, at, err := wire.DecodeActive(e.Value)
	if err != nil {
		j.log.Error("unreadable job record", "key", e.Key, "err", err)
		return JobView{}, false
	}
	return JobView{State: wire.StateQueued, Spec: s, At: at, Version: e.Version, Tasks: s.Tasks}, true
}

// apply takes a batch of changes. A batch that overlaps what is known already
// does no harm: versions only grow, and an ended job stays ended.
func (j *Jobs) apply(p wire.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.Revision <= j.rev {
		return
	}
	slices.SortStableFunc(p.Entries, func(a, b wire.Entry) int { return cmp.Compare(a.Version, b.Version) })
	var changes []JobChange
	for _, e := range p.Entries {
		if e.Version <= j.rev {
			continue
		}
		switch {
		case strings.HasPrefix(e.Key, activePrefix):
			id := e.Key[len(activePrefix):]
			if e.Removed {
				delete(j.active, id)
			} else if v, ok := j.decode(e); ok {
				j.active[id] = v
				changes = append(changes, JobChange{id, v})
			}
		case strings.HasPrefix(e.Key, endedPrefix) && !e.Removed:
			id := e.Key[len(endedPrefix):]
			state, n, err := wire.DecodeEnded(e.Value)
			if err != nil {
				j.log.Error("unreadable job record", "key", e.Key, "err", err)
				continue
			}
			v := JobView{State: state, Tasks: n, Version: e.Version}
			j.remember(id, v)
			changes = append(changes, JobChange{id, v})
		}
	}
	j.rev = p.Revision
	j.notify(changes)
}

// remember keeps the final state of a job, and lets the oldest one go.
func (j *Jobs) remember(id string, v JobView) {
	delete(j.active, id)
	if _, ok := j.ended[id]; !ok {
		j.fifo = append(j.fifo, id)
	}
	j.ended[id] = v
	for len(j.fifo) > j.keep {
		delete(j.ended, j.fifo[0])
		j.fifo = j.fifo[1:]
	}
}

// Refresh reads the view if it has not been read yet, and brings it up to the
// present.
func (j *Jobs) Refresh(ctx context.Context) error {
	if !j.Loaded() {
		if err := j.load(ctx); err != nil {
			return err
		}
	}
	return j.CatchUp(ctx)
}

// Loaded tells whether the view has been read.
func (j *Jobs) Loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.loaded
}

// Peek tells what is known of a job without asking anybody.
func (j *Jobs) Peek(id string) JobView {
	j.mu.Lock()
	defer j.mu.Unlock()
	if v, ok := j.ended[id]; ok {
		return v
	}
	return j.active[id]
}

// Active tells all unfinished jobs, and the revision of that view.
func (j *Jobs) Active() (map[string]JobView, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make(map[string]JobView, len(j.active))
	for id, v := range j.active {
		if _, over := j.ended[id]; !over {
			out[id] = v
		}
	}
	return out, j.rev
}

// Sync brings the view up to the present: when it returns, the view holds every
// change that was made before it was called. One read serves all who wait.
func (j *Jobs) Sync(ctx context.Context) error {
	j.mu.Lock()
	if !j.loaded {
		j.mu.Unlock()
		return errors.New("the job records have not been read yet")
	}
	if j.batch == nil {
		// The read of an older batch may have begun before this call, so it does
		// not serve.
		j.batch = &syncBatch{done: make(chan struct{})}
	}
	b := j.batch
	if !j.busy {
		j.busy = true
		go j.syncLoop()
	}
	j.mu.Unlock()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// syncPause gathers answers for one read.
const syncPause = 25 * time.Millisecond

func (j *Jobs) syncLoop() {
	for {
		j.mu.Lock()
		b := j.batch
		j.batch = nil
		if b == nil {
			j.busy = false
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
		b.err = j.CatchUp(context.Background())
		close(b.done)
		time.Sleep(syncPause)
	}
}

// CatchUp reads and applies the changes since the view's revision.
func (j *Jobs) CatchUp(ctx context.Context) error {
	j.mu.Lock()
	rev := j.rev
	j.mu.Unlock()
	p, err := j.c.Changes(ctx, jobPrefix, rev, 0)
	if err == nil {
		j.apply(p)
	}
	return j.failed(err)
}

// Lookup tells the present state of a job. A final state that is remembered is
// answered at once; anything else is brought up to the present.
func (j *Jobs) Lookup(ctx context.Context, id string) (JobView, error) {
	if v := j.Peek(id); v.State.Ended() {
		return v, nil
	}
	if err := j.Sync(ctx); err != nil {
		return JobView{}, err
	}
	if v := j.Peek(id); v.State != wire.StateUnknown {
		return v, nil
	}
	return j.read(ctx, id)
}

// read looks a job up with the state service. It reads the active record first:
// a job only ever moves from there to the ended ones.
func (j *Jobs) read(ctx context.Context, id string) (JobView, error) {
	e, ok, err := j.c.Get(ctx, activePrefix+id)
	if err != nil {
		return JobView{}, err
	}
	if ok {
		if v, ok := j.decode(e); ok {
			return v, nil
		}
		return JobView{}, errors.New("unreadable job record")
	}
	if e, ok, err = j.c.Get(ctx, endedPrefix+id); err != nil || !ok {
		return JobView{}, err
	}
	state, n, err := wire.DecodeEnded(e.Value)
	if err != nil {
		return JobView{}, err
	}
	v := JobView{State: state, Tasks: n, Version: e.Version}
	j.mu.Lock()
	j.remember(id, v)
	j.mu.Unlock()
	return v, nil
}

// Accept writes the record of a new job, unless the job is known. It tells
// whether this call has accepted it, and the job's state.
func (j *Jobs) Accept(ctx context.Context, s *model.Spec, now time.Time) (created bool, v JobView, err error) {
	t := &wire.Txn{If: []wire.Cond{{Key: activePrefix + s.ID}, {Key: endedPrefix + s.ID}},
		Then: []wire.Change{{Key: activePrefix + s.ID, Value: wire.AppendActive(nil, s, now)}}}
	rev, ok, err := j.c.Commit(ctx, t, false)
	if err == nil && ok {
		return true, JobView{State: wire.StateQueued, Spec: s, At: now, Version: rev, Tasks: s.Tasks}, nil
	}
	if errors.Is(err, ErrNotExecuted) {
		return false, JobView{}, err
	}
	// Known already, or the outcome is open: reading settles it.
	v, rerr := j.read(ctx, s.ID)
	if rerr != nil {
		return false, v, rerr
	}
	if v.State == wire.StateUnknown {
		return false, v, errors.Join(err, errors.New("the outcome is open"))
	}
	return false, v, nil
}

// Cancel ends a job as cancelled, unless it is done. It tells the state in
// which the job has ended, or StateUnknown where nobody has submitted it.
func (j *Jobs) Cancel(ctx context.Context, id string) (JobView, error) {
	for range 4 {
		if v := j.Peek(id); v.State.Ended() {
			return v, nil
		}
		v, err := j.read(ctx, id)
		if err != nil || v.State.Ended() || v.State == wire.StateUnknown {
			return v, err
		}
		t := &wire.Txn{If: []wire.Cond{{Key: activePrefix + id, Version: v.Version}, {Key: endedPrefix + id}},
			Then: []wire.Change{{Key: activePrefix + id}, {Key: endedPrefix + id, Value: wire.AppendEnded(nil, wire.StateCancelled, v.Tasks)}}}
		rev, ok, err := j.c.Commit(ctx, t, false)
		if err != nil && errors.Is(err, ErrNotExecuted) {
			return JobView{}, err
		}
		if err == nil && ok {
			v := JobView{State: wire.StateCancelled, Tasks: v.Tasks, Version: rev}
			j.mu.Lock()
			j.remember(id, v)
			j.mu.Unlock()
			return v, nil
		}
	}
	return JobView{}, fmt.Errorf("job %s: the cancellation did not get through", id)
}
