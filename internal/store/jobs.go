package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// The keys of the job records. A job moves from active to ended in one
// transaction and never back.
const (
	jobPrefix        = "job/"
	activePrefix     = "job/a/"
	endedPrefix      = "job/e/"
	dependencyPrefix = "job/w/" // parts of lists of awaited jobs, written before the job's record
)

// Limits are what the state service takes: the smaller of what it takes now and of
// what it will take, since that comes without notice.
type Limits struct {
	MaxValueBytes int // bytes of a value
	MaxChanges    int // changes of a transaction; it takes four times as many conditions
}

// JobRecord is what is known of a job.
type JobRecord struct {
	State          wire.JobState // StateQueued for every unfinished job
	Spec           *model.Spec   // of an unfinished job
	Timestamp      time.Time     // when an unfinished job was submitted, or when an ended one ended
	Version        uint64
	Tasks          int
	DependencyKeys []string // keys that hold the rest of what it awaits
}

// AddedEvent tells the core of an unfinished job.
func (v JobRecord) AddedEvent() reconciler.JobAdded {
	return reconciler.JobAdded{Spec: v.Spec, SubmittedAt: v.Timestamp, Version: v.Version, DependencyKeys: v.DependencyKeys}
}

// EndedEvent tells the core of a job that is over.
func (v JobRecord) EndedEvent(id string) reconciler.JobEnded {
	e := reconciler.JobEnded{ID: id, Outcome: v.State.Outcome()}
	if e.Outcome != model.OutcomeUnknown {
		e.EndedAt = v.Timestamp
	}
	return e
}

// JobChange tells of a job that was accepted, or that has ended.
type JobChange struct {
	ID string
	JobRecord
}

// JobCache is this controller's view of the job records. It follows the changes,
// and can be brought up to the present for an answer that must not be older
// than what any other controller has told.
type JobCache struct {
	client   *Client
	log      *slog.Logger
	limits   Limits
	maxEnded int
	notify   func([]JobChange)

	incarnation uint64 // names this life of the process

	mu              sync.Mutex
	revision        uint64 // the view holds all changes up to here
	learnedSince    uint64 // and from here on, since its first reading, this life has learned of them; an earlier one may have told users of ends before
	loaded          bool
	asOf            time.Time // the view holds all that was on record then
	active          map[string]JobRecord
	ended           map[string]JobRecord
	endedOrder      []string // ended jobs, in the order in which they were learned of
	endedOffset     uint64   // the number of the first of them; they are numbered from 0 in a life
	evictedVersion  uint64   // the highest version of those that were let go
	graph           *model.DependencyGraph
	dependencyParts map[string][]string // of lists of awaited jobs, by key

	pendingSync *syncBatch
	syncing     bool
}

// syncBatch is one read that many answers wait for.
type syncBatch struct {
	done chan struct{}
	err  error
}

// NewJobCache makes an empty view. life is a number that no other life of the process has drawn.
// notify is told of changes, in order, and must not call back.
func NewJobCache(c *Client, life uint64, keep int, limits Limits, notify func([]JobChange), log *slog.Logger) *JobCache {
	limits.MaxValueBytes = min(limits.MaxValueBytes, maxTxnValueBytes)
	return &JobCache{client: c, log: log, limits: limits, incarnation: life, maxEnded: keep, notify: notify, active: map[string]JobRecord{}, ended: map[string]JobRecord{},
		graph: model.NewDependencyGraph(), dependencyParts: map[string][]string{}}
}

// Run follows the changes until the context ends.
func (j *JobCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := j.followChanges(ctx); err != nil && ctx.Err() == nil {
			j.log.Debug("job records", "err", err)
			sleepContext(ctx, 300*time.Millisecond)
		}
	}
	return nil
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (j *JobCache) followChanges(ctx context.Context) error {
	if !j.Loaded() {
		return j.load(ctx)
	}
	return j.readChanges(ctx, watchTimeout)
}

// watchTimeout is how long one watch waits for a change.
const watchTimeout = 10 * time.Second

// invalidateIfCompacted has the view read anew where its changes are not kept any more.
func (j *JobCache) invalidateIfCompacted(err error) error {
	if errors.Is(err, ErrCompacted) {
		j.mu.Lock()
		j.loaded = false
		j.mu.Unlock()
	}
	return err
}

// load reads all unfinished jobs. Ended ones are looked up when somebody asks.
func (j *JobCache) load(ctx context.Context) error {
	sent := j.client.now()
	entries, rev, err := j.client.List(ctx, activePrefix)
	if err != nil {
		return err
	}
	// A job's parts are there before its record and go after it. So a record of the
	// first list that lacks some here has ended since, and the changes will tell.
	parts, _, err := j.client.List(ctx, dependencyPrefix)
	if err != nil {
		return err
	}
	// A former life may have told users of ends. The latest ones are learned again, so that this one's word is whole
	// for a leader that has read a little less far.
	from, recent := rev, []wire.Entry(nil)
	if j.AsOf().IsZero() {
		from = rev - min(rev, recentRevisions)
		if p, err := j.client.Changes(ctx, jobPrefix, from, 0); err == nil {
			recent = p.Entries
		} else {
			from = rev
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range recent {
		if id, ok := strings.CutPrefix(e.Key, endedPrefix); ok && !e.Removed {
			if v, err := decodeEnded(e); err == nil {
				j.recordEnd(id, v)
			} else {
				j.log.Error("unreadable job record", "key", e.Key, "err", err)
				from = rev
			}
		}
	}
	j.dependencyParts = map[string][]string{}
	for _, e := range parts {
		j.applyDependencyPart(e)
	}
	var changes []JobChange
	active := make(map[string]JobRecord, len(entries))
	for _, e := range entries {
		id := e.Key[len(activePrefix):]
		v, ok := j.active[id]
		if !ok {
			if v, ok = j.decodeActive(e); !ok {
				continue
			}
			changes = append(changes, JobChange{id, v})
		}
		active[id] = v
	}
	for id := range j.active {
		if _, ok := active[id]; !ok {
			changes = append(changes, JobChange{id, JobRecord{State: wire.StateUnknown}})
		}
	}
	if j.asOf.IsZero() {
		j.learnedSince = from
	}
	j.active, j.revision, j.loaded, j.asOf = active, rev, true, sent
	j.graph = model.NewDependencyGraph()
	for id, v := range active {
		j.addToGraph(id, v)
	}
	j.notify(changes)
	return nil
}

// recentRevisions is how many revisions before its first reading a member learns the ends of: some seconds' worth.
const recentRevisions = 2000

// addToGraph takes an unfinished job into the graph.
func (j *JobCache) addToGraph(id string, v JobRecord) {
	if _, over := j.ended[id]; over {
		return
	}
	j.graph.Add(id, v.Spec.Dependencies, v.Timestamp)
	for _, n := range v.Spec.Dependencies {
		if e, ok := j.ended[n]; ok {
			j.graph.End(n, e.State.Outcome(), e.Timestamp)
		}
	}
}

// applyDependencyPart keeps a part of a list of awaited jobs.
func (j *JobCache) applyDependencyPart(e wire.Entry) {
	if e.Removed {
		delete(j.dependencyParts, e.Key)
		return
	}
	ids, err := wire.DecodeDependencies(e.Value)
	if err != nil {
		j.log.Error("unreadable job record", "key", e.Key, "err", err)
		return
	}
	j.dependencyParts[e.Key] = ids
}

// dependencyPartKey names a part of a list of awaited jobs.
func dependencyPartKey(id, sum string, n int) string {
	return dependencyPrefix + id + "/" + sum + "/" + strconv.Itoa(n)
}

// decodeActive reads the record of an unfinished job. One whose parts are not all known is
// not known either: it must not start before what it awaits is whole.
func (j *JobCache) decodeActive(e wire.Entry) (JobRecord, bool) {
	s, at, p, err := wire.DecodeActiveJob(e.Value)
	v := JobRecord{State: wire.StateQueued, Spec: s, Timestamp: at, Version: e.Version}
	for n := 0; err == nil && n < p.Count; n++ {
		key := dependencyPartKey(s.ID, p.Sum, n)
		ids, ok := j.dependencyParts[key]
		if !ok {
			err = fmt.Errorf("%s is missing", key)
		}
		s.Dependencies = append(s.Dependencies, ids...)
		v.DependencyKeys = append(v.DependencyKeys, key)
	}
	if err != nil {
		j.log.Error("unreadable job record", "key", e.Key, "err", err)
		return JobRecord{}, false
	}
	v.Tasks = s.Tasks
	return v, true
}

// readChanges reads and applies the changes since the view's revision, waiting for one up to the given time.
func (j *JobCache) readChanges(ctx context.Context, wait time.Duration) error {
	j.mu.Lock()
	rev := j.revision
	j.mu.Unlock()
	sent := j.client.now()
	p, err := j.client.Changes(ctx, jobPrefix, rev, wait)
	if err == nil {
		j.applyChanges(p, sent)
	}
	return j.invalidateIfCompacted(err)
}

// applyChanges takes a batch of changes that was asked for at a moment. A batch that overlaps what is
// known already does no harm: versions only grow, and an ended job stays ended.
func (j *JobCache) applyChanges(p wire.Page, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	defer func() {
		if sent.After(j.asOf) {
			j.asOf = sent
		}
	}()
	if p.Revision <= j.revision {
		return
	}
	slices.SortStableFunc(p.Entries, func(a, b wire.Entry) int { return cmp.Compare(a.Version, b.Version) })
	var changes []JobChange
	for _, e := range p.Entries {
		if e.Version <= j.revision {
			continue
		}
		switch {
		case strings.HasPrefix(e.Key, activePrefix):
			id := e.Key[len(activePrefix):]
			if e.Removed {
				delete(j.active, id)
			} else if v, ok := j.decodeActive(e); ok {
				j.active[id] = v
				j.addToGraph(id, v)
				changes = append(changes, JobChange{id, v})
			}
		case strings.HasPrefix(e.Key, dependencyPrefix):
			j.applyDependencyPart(e)
		case strings.HasPrefix(e.Key, endedPrefix) && !e.Removed:
			id := e.Key[len(endedPrefix):]
			v, err := decodeEnded(e)
			if err != nil {
				j.log.Error("unreadable job record", "key", e.Key, "err", err)
				continue
			}
			j.recordEnd(id, v)
			changes = append(changes, JobChange{id, v})
		}
	}
	j.revision = p.Revision
	j.notify(changes)
}

func decodeEnded(e wire.Entry) (JobRecord, error) {
	state, n, at, err := wire.DecodeEndedJob(e.Value)
	return JobRecord{State: state, Tasks: n, Version: e.Version, Timestamp: at}, err
}

// recordEnd keeps the final state of a job, and lets the oldest one go. The jobs
// behind it have learned of it by then, so letting it go forgets nothing that a
// waiting job needs.
func (j *JobCache) recordEnd(id string, v JobRecord) {
	delete(j.active, id)
	j.graph.End(id, v.State.Outcome(), v.Timestamp)
	if _, ok := j.ended[id]; !ok {
		j.endedOrder = append(j.endedOrder, id)
	}
	j.ended[id] = v
	for len(j.endedOrder) > j.maxEnded {
		j.evictedVersion = max(j.evictedVersion, j.ended[j.endedOrder[0]].Version)
		delete(j.ended, j.endedOrder[0])
		j.endedOrder, j.endedOffset = j.endedOrder[1:], j.endedOffset+1
	}
}

// learnEnd is remember for an end that did not come with the changes. The core of a leader is told at
// once. Guards against a leader whose own answer to its user is all that it hears of a
// cancellation, since the state service is silent from then on.
func (j *JobCache) learnEnd(id string, v JobRecord) {
	_, open := j.active[id]
	j.recordEnd(id, v)
	if open {
		j.notify([]JobChange{{id, v}})
	}
}

// Refresh reads the view if it has not been read yet, and brings it up to the
// present.
func (j *JobCache) Refresh(ctx context.Context) error {
	if !j.Loaded() {
		if err := j.load(ctx); err != nil {
			return err
		}
	}
	return j.CatchUp(ctx)
}

// Loaded tells whether the view has been read.
func (j *JobCache) Loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.loaded
}

// Revision is up to where the view holds all changes; 0: it has not been read.
func (j *JobCache) Revision() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.loaded {
		return 0
	}
	return j.revision
}

// AsOf is a moment as of which the view holds all that was on record; zero: it has not been read.
func (j *JobCache) AsOf() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.asOf
}

// CancellationReport is what a member tells a leader of cancellations, so that one that cannot read them itself
// knows what users were told.
type CancellationReport struct {
	Cancelled []Cancellation
	Cursor    CancellationCursor // that the leader is told with it
	// Complete: with what it was told before, and what it has read, the leader now knows of every
	// cancellation that this member has told anybody of, in this life or an earlier one.
	Complete bool
}

// Cancellation is a job that was cancelled in a change.
type Cancellation struct {
	ID      string
	Version uint64
}

// CancellationCursor is how far a leader was told of what one life of a member has learned.
type CancellationCursor struct {
	Incarnation, Count uint64
}

// maxReportedCancellations bounds the cancellations of one word; more follow with the next one.
const maxReportedCancellations = 256

// CancellationsAfter lists the jobs that this controller knows to be cancelled, for a leader that has
// read the records up to a revision and was told some before. They go in the order in which
// they were learned of, since a job that was cancelled long ago may be told of to a user only now.
func (j *JobCache) CancellationsAfter(rev uint64, told CancellationCursor) CancellationReport {
	j.mu.Lock()
	defer j.mu.Unlock()
	from := j.endedOffset
	if told.Incarnation == j.incarnation && told.Count <= j.endedOffset+uint64(len(j.endedOrder)) {
		from = max(from, told.Count)
	}
	w := CancellationReport{Cursor: CancellationCursor{j.incarnation, from}}
	for _, id := range j.endedOrder[from-j.endedOffset:] {
		if len(w.Cancelled) == maxReportedCancellations {
			return w
		}
		if v := j.ended[id]; v.State == wire.StateCancelled && v.Version > rev {
			w.Cancelled = append(w.Cancelled, Cancellation{id, v.Version})
		}
		w.Cursor.Count++
	}
	w.Complete = !j.asOf.IsZero() && max(j.learnedSince, j.evictedVersion) <= rev
	return w
}

// ApplyCancellations takes another member's word.
func (j *JobCache) ApplyCancellations(cancelled []Cancellation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range cancelled {
		if _, known := j.ended[c.ID]; !known {
			v := j.active[c.ID]
			j.learnEnd(c.ID, JobRecord{State: wire.StateCancelled, Tasks: v.Tasks, Version: c.Version})
		}
	}
}

// Peek tells what is known of a job without asking anybody.
func (j *JobCache) Peek(id string) JobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	if v, ok := j.ended[id]; ok {
		return v
	}
	return j.active[id]
}

// EventFor tells the core of a change. What counts is the view as it is now: a job that
// has ended since must not come up again. One that the view has let go of meanwhile
// had ended.
func (j *JobCache) EventFor(ch JobChange) reconciler.Event {
	v := j.Peek(ch.ID)
	switch {
	case v.Spec != nil:
		return v.AddedEvent()
	case v.State == wire.StateUnknown:
		v = ch.JobRecord
	}
	return v.EndedEvent(ch.ID)
}

// AddToSnapshot adds to what a new leader reads all unfinished jobs, as of now.
func (j *JobCache) AddToSnapshot(snap *reconciler.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	snap.Revision = j.revision
	for id, v := range j.active {
		if _, over := j.ended[id]; !over {
			snap.Jobs = append(snap.Jobs, v.AddedEvent())
		}
	}
	for key := range j.dependencyParts {
		id, _, _ := strings.Cut(key[len(dependencyPrefix):], "/")
		if _, ok := j.active[id]; !ok {
			snap.OrphanedDependencies = append(snap.OrphanedDependencies, reconciler.Change{Kind: reconciler.DeleteDependencies, Job: id, Key: key})
		}
	}
}

// ReadEnds tells how jobs have ended, of those where that can be found out.
func (j *JobCache) ReadEnds(ctx context.Context, ids []string) []reconciler.JobEnded {
	var out []reconciler.JobEnded
	for _, id := range ids {
		v := j.Peek(id)
		if !v.State.Ended() {
			var err error
			if v, err = j.fetch(ctx, id); err != nil {
				j.log.Debug("end of an awaited job", "id", id, "err", err)
				break
			}
		}
		if v.State.Ended() {
			out = append(out, v.EndedEvent(id))
		} else {
			j.log.Warn("the end of an awaited job is not on record", "id", id)
		}
	}
	return out
}

// Sync brings the view up to the present: when it returns, the view holds every
// change that was made before it was called. One read serves all who wait.
func (j *JobCache) Sync(ctx context.Context) error {
	j.mu.Lock()
	if !j.loaded {
		j.mu.Unlock()
		return errors.New("the job records have not been read yet")
	}
	if j.pendingSync == nil {
		// The read of an older batch may have begun before this call, so it does
		// not serve.
		j.pendingSync = &syncBatch{done: make(chan struct{})}
	}
	b := j.pendingSync
	if !j.syncing {
		j.syncing = true
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

// minSyncInterval gathers answers for one read, at the least.
const minSyncInterval = 25 * time.Millisecond

func (j *JobCache) syncLoop() {
	for {
		j.mu.Lock()
		b := j.pendingSync
		j.pendingSync = nil
		if b == nil {
			j.syncing = false
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
		b.err = j.CatchUp(context.Background())
		close(b.done)
		// Guards against polls that use up the budget: submissions, and the watch that
		// tells of the jobs that they await, then stood in line behind them.
		j.client.sleep(max(minSyncInterval, j.client.MinReadInterval()))
	}
}

// CatchUp reads and applies the changes since the view's revision.
func (j *JobCache) CatchUp(ctx context.Context) error { return j.readChanges(ctx, 0) }

// Lookup tells the present state of a job. A final state that is remembered is
// answered at once; anything else is brought up to the present. A job behind a
// cancelled one is cancelled, whether its own end is written yet or not: all
// controllers derive that from the one record of the cancellation
// (docs/safety.md, "Pipelines").
func (j *JobCache) Lookup(ctx context.Context, id string) (JobRecord, error) {
	if v := j.Peek(id); v.State.Ended() {
		return v, nil
	}
	for range 3 {
		if err := j.Sync(ctx); err != nil {
			return JobRecord{}, err
		}
		if v, ok, err := j.deriveState(ctx, id); ok || err != nil {
			return v, err
		}
		// Not among the unfinished ones: it has ended, or nobody has submitted it,
		// or it was accepted since.
		v, err := j.fetch(ctx, id)
		if err != nil || v.Spec == nil {
			return v, err
		}
	}
	return JobRecord{}, fmt.Errorf("job %s: the view does not hold it", id)
}

// deriveState tells the state of a job that the view holds. It looks up how the jobs
// ended that it hangs on and of which the view knows only the name.
func (j *JobCache) deriveState(ctx context.Context, id string) (JobRecord, bool, error) {
	for settled := true; ; {
		j.mu.Lock()
		v, ended := j.ended[id]
		if !ended {
			v = j.active[id]
		}
		var open []string
		if v.Spec != nil {
			if l := j.graph.Node(id); l != nil && l.State == model.DependencyFailed {
				v = JobRecord{State: wire.StateCancelled, Tasks: v.Tasks}
			} else {
				open = j.graph.ReferencedUpstream(id)
			}
		}
		j.mu.Unlock()
		if len(open) == 0 || !settled {
			return v, v.State != wire.StateUnknown, nil
		}
		for _, n := range open {
			ok, err := j.resolveEnd(ctx, n)
			if err != nil {
				return JobRecord{}, false, err
			}
			settled = settled && ok
		}
	}
}

// resolveEnd reads how an awaited job ended that is not among the unfinished ones, and
// tells whether it has.
func (j *JobCache) resolveEnd(ctx context.Context, id string) (bool, error) {
	j.mu.Lock()
	e, known := j.ended[id]
	if known {
		j.graph.End(id, e.State.Outcome(), e.Timestamp)
	}
	j.mu.Unlock()
	if known {
		return true, nil
	}
	v, err := j.fetch(ctx, id)
	return v.State.Ended(), err
}

// fetch looks a job up with the state service. It reads the active record first:
// a job only ever moves from there to the ended ones.
func (j *JobCache) fetch(ctx context.Context, id string) (JobRecord, error) {
	e, ok, err := j.client.Get(ctx, activePrefix+id)
	if err != nil {
		return JobRecord{}, err
	}
	if ok {
		j.mu.Lock()
		v, ok := j.decodeActive(e)
		j.mu.Unlock()
		if ok {
			return v, nil
		}
		return JobRecord{}, errors.New("unreadable job record")
	}
	if e, ok, err = j.client.Get(ctx, endedPrefix+id); err != nil || !ok {
		return JobRecord{}, err
	}
	v, err := decodeEnded(e)
	if err != nil {
		return JobRecord{}, err
	}
	j.mu.Lock()
	j.learnEnd(id, v)
	j.mu.Unlock()
	return v, nil
}

// The errors of Resolve that are for good.
var (
	ErrUnknownDependency = errors.New("awaits a job that was never accepted")
	ErrServiceDependency = errors.New("awaits a service, which is never done")
	ErrTooLarge          = errors.New("too large to be kept")
)

// ResolveDependencies finds out how the jobs stand that a submission awaits. Those that are done
// are dropped from its list, since that is for good. doomed tells that one is
// cancelled. A job that the view holds was accepted, however it stands by now: the
// end that it may have had since reaches the new job like any other. Only of one that
// the view does not hold the present state is read.
func (j *JobCache) ResolveDependencies(ctx context.Context, s *model.Spec) (doomed bool, err error) {
	var open []string
	for _, id := range s.Dependencies {
		if id == s.ID {
			return false, ErrUnknownDependency
		}
		v := j.Peek(id)
		if v.State == wire.StateUnknown {
			v, err = j.Lookup(ctx, id)
		}
		switch {
		case err != nil:
			return false, err
		case v.State == wire.StateUnknown:
			return false, ErrUnknownDependency
		case v.State == wire.StateCancelled:
			doomed = true
		case v.State == wire.StateDone:
		case v.Spec.Shape == model.Service:
			return false, ErrServiceDependency
		default:
			open = append(open, id)
		}
	}
	s.Dependencies = open
	return doomed, nil
}

// encodeNewJob lays out the records of a new job: the changes that are written first, and
// the last one, with which the job is accepted.
func (j *JobCache) encodeNewJob(s *model.Spec, at time.Time) (parts []wire.Change, last wire.Change, err error) {
	last = wire.Change{Key: activePrefix + s.ID, Value: wire.AppendActiveJob(nil, s, at, s.Dependencies, wire.DependencyParts{})}
	if wire.StoredSize(last.Value) <= j.limits.MaxValueBytes {
		return nil, last, nil
	}
	sum := fnv.New64a()
	for _, id := range s.Dependencies {
		_, _ = sum.Write([]byte(id)) // a hash takes everything
	}
	p := wire.DependencyParts{Sum: strconv.FormatUint(sum.Sum64(), 16)}
	for rest := s.Dependencies; len(rest) > 0; {
		n := 0
		for size := partOverheadBytes; n < len(rest) && size+len(rest[n])+idOverheadBytes <= j.limits.MaxValueBytes; n++ {
			size += len(rest[n]) + idOverheadBytes
		}
		if n == 0 {
			return nil, last, ErrTooLarge
		}
		parts = append(parts, wire.Change{Key: dependencyPartKey(s.ID, p.Sum, p.Count), Value: wire.AppendDependencies(nil, rest[:n])})
		p.Count++
		rest = rest[n:]
	}
	last.Value = wire.AppendActiveJob(nil, s, at, nil, p)
	if wire.StoredSize(last.Value) > j.limits.MaxValueBytes || len(parts)+2 > conditionsPerChange*j.limits.MaxChanges {
		return nil, last, ErrTooLarge
	}
	return parts, last, nil
}

const (
	partOverheadBytes   = 100      // of a part besides the ids
	idOverheadBytes     = 4        // of an id besides its letters
	conditionsPerChange = 4        // conditions that a transaction may have for each change
	maxTxnValueBytes    = 48 << 10 // of values in one transaction: the published bound of 64 KiB, less all else
)

// CheckSize tells whether the records of a new job can be kept at all.
func (j *JobCache) CheckSize(s *model.Spec) error {
	_, _, err := j.encodeNewJob(s, time.UnixMilli(0).Add(1<<62))
	return err
}

// Accept writes the record of a new job, unless the job is known. A doomed one, which
// awaits a cancelled job, is accepted and over at once. It tells whether this call has
// accepted the job, and the job's state.
func (j *JobCache) Accept(ctx context.Context, s *model.Spec, doomed bool, now time.Time) (created bool, v JobRecord, err error) {
	t := &wire.Txn{Conditions: []wire.Condition{{Key: activePrefix + s.ID}, {Key: endedPrefix + s.ID}}}
	if doomed {
		t.Changes = []wire.Change{{Key: endedPrefix + s.ID, Value: wire.AppendEndedJob(nil, wire.StateCancelled, s.Tasks, now)}}
	} else {
		parts, last, err := j.encodeNewJob(s, now)
		if err != nil {
			return false, v, err
		}
		for len(parts) > 0 {
			n := min(len(parts), j.limits.MaxChanges, max(1, maxTxnValueBytes/j.limits.MaxValueBytes))
			rev, ok, err := j.client.Commit(ctx, &wire.Txn{Changes: parts[:n]}, false)
			if err != nil || !ok {
				return false, v, errors.Join(ErrNotExecuted, err)
			}
			// Should the leader clear them away meanwhile, since no job owns them
			// yet, this job is not accepted.
			for _, p := range parts[:n] {
				t.Conditions = append(t.Conditions, wire.Condition{Key: p.Key, Version: rev})
			}
			parts = parts[n:]
		}
		t.Changes = []wire.Change{last}
	}
	rev, ok, err := j.client.Commit(ctx, t, false)
	if err == nil && ok {
		return true, JobRecord{State: wire.StateQueued, Spec: s, Timestamp: now, Version: rev, Tasks: s.Tasks}, nil
	}
	if errors.Is(err, ErrNotExecuted) {
		return false, JobRecord{}, err
	}
	// Known already, or the outcome is open: the present state settles it.
	v, rerr := j.Lookup(ctx, s.ID)
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
func (j *JobCache) Cancel(ctx context.Context, id string, now time.Time) (JobRecord, error) {
	for range 4 {
		if v := j.Peek(id); v.State.Ended() {
			return v, nil
		}
		v, err := j.fetch(ctx, id)
		if err != nil || v.State.Ended() || v.State == wire.StateUnknown {
			return v, err
		}
		t := &wire.Txn{Conditions: []wire.Condition{{Key: activePrefix + id, Version: v.Version}, {Key: endedPrefix + id}},
			Changes: []wire.Change{{Key: activePrefix + id}, {Key: endedPrefix + id, Value: wire.AppendEndedJob(nil, wire.StateCancelled, v.Tasks, now)}}}
		rev, ok, err := j.client.Commit(ctx, t, false)
		if err != nil && errors.Is(err, ErrNotExecuted) {
			return JobRecord{}, err
		}
		if err == nil && ok {
			v := JobRecord{State: wire.StateCancelled, Tasks: v.Tasks, Version: rev, Timestamp: now}
			j.mu.Lock()
			j.learnEnd(id, v)
			j.mu.Unlock()
			return v, nil
		}
	}
	return JobRecord{}, fmt.Errorf("job %s: the cancellation did not get through", id)
}
