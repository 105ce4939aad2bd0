package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var testSettings = Settings{
	BatchInterval:    250 * time.Millisecond,
	MaxQueued:        5,
	MaxQueuedBytes:   1 << 20,
	MaxInFlight:      2,
	HeartbeatTimeout: 2 * time.Second,
	RetryAfter:       8 * time.Second,
}

const maxPayloadBytes = 1000

var startTime = time.Unix(1e9, 0)

func afterStart(d time.Duration) time.Time { return startTime.Add(d) }

var random = rand.New(rand.NewPCG(1, 2))

func randomBody(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

func equalEnvelopes(a, b Envelope) bool { return a.ID == b.ID && string(a.Body) == string(b.Body) }

func TestPackUnpackRoundTrip(t *testing.T) {
	for range 200 {
		var envelopes []Envelope
		for range 1 + random.IntN(40) {
			envelopes = append(envelopes, Envelope{random.Uint64(), randomBody(random.IntN(300))})
		}
		maxBytes := 10 + random.IntN(20_000)
		payload, n := Pack(envelopes, maxBytes)
		got, err := Unpack(payload)
		if len(payload) > maxBytes {
			t.Fatalf("got a payload of %d bytes, want at most %d", len(payload), maxBytes)
		}
		if n > 0 && (err != nil || !slices.EqualFunc(got, envelopes[:n], equalEnvelopes)) {
			t.Fatalf("unpacked: got %d envelopes, error %v; want the %d that were packed", len(got), err, n)
		}
	}
}

func TestUnpackRejectsMalformedBatch(t *testing.T) {
	good := encode([]Envelope{{1, []byte("abc")}})
	tooLarge := encode([]Envelope{{1, make([]byte, maxUnpackedBytes)}})
	for _, bad := range []string{"", "%", "AAAA", good[:len(good)-3], tooLarge} {
		got, err := Unpack(bad)
		if err == nil && len(got) > 0 {
			t.Errorf("Unpack(%.20q): got %d envelopes and no error, want none or an error", bad, len(got))
		}
		if err != nil && !errors.Is(err, ErrMalformedBatch) {
			t.Errorf("Unpack(%.20q): got error %v, want ErrMalformedBatch", bad, err)
		}
	}
}

// outboxScenario is an outbox that goes through the steps of TestOutboxPathToUnreachableLeader.
type outboxScenario struct {
	t      *testing.T
	outbox *Outbox
	now    time.Time
	paths  []string // changes of the path
}

// add adds a heartbeat, which must be accepted.
func (s *outboxScenario) add(body string) uint64 {
	s.t.Helper()
	id, ok := s.outbox.Add(s.now, []byte(body))
	if !ok {
		s.t.Fatalf("Add %q on path %v: got false, want true", body, s.outbox.Path())
	}
	return id
}

// takeOne takes a batch, which must have one heartbeat.
func (s *outboxScenario) takeOne() (seq uint64, payload string) {
	s.t.Helper()
	seq, payload, n := s.outbox.TakeBatch(s.now, maxPayloadBytes)
	if n != 1 {
		s.t.Fatalf("TakeBatch: got %d heartbeats, want 1", n)
	}
	return seq, payload
}

func TestOutboxPathToUnreachableLeader(t *testing.T) {
	s := &outboxScenario{t: t, now: startTime}
	s.outbox = New(testSettings, func(from, to Path, _ string) {
		s.paths = append(s.paths, fmt.Sprintf("%v-%v", from, to))
	})
	s.queueIsBounded()
	s.responsesReachWaitingWorkersOnce()
	s.unansweredBatchesClosePath()
	heartbeat := s.heartbeatsWaitWhileNobodyLeads()
	s.newLeaderGetsHeartbeatsAgain(heartbeat)
	s.pathIsRetried()
	if got, want := strings.Join(s.paths, " "), "direct-post post-lost lost-post post-direct"; got != want {
		t.Errorf("got changes of the path %q, want %q", got, want)
	}
}

// queueIsBounded: heartbeats are accepted only while the leader is unreachable, and up to a bound.
func (s *outboxScenario) queueIsBounded() {
	s.t.Helper()
	if _, ok := s.outbox.Add(startTime, []byte("r")); ok {
		s.t.Error("Add while the leader is reachable: got true, want false")
	}
	s.outbox.ObserveContact(startTime, false)
	for i := range 7 {
		_, ok := s.outbox.Add(startTime, []byte(fmt.Sprint("r", i)))
		if want := i < testSettings.MaxQueued; ok != want {
			s.t.Errorf("Add %d to a queue of %d: got %v, want %v", i, testSettings.MaxQueued, ok, want)
		}
	}
}

// responsesReachWaitingWorkersOnce: not those whose worker has given up, and none twice or late.
func (s *outboxScenario) responsesReachWaitingWorkersOnce() {
	s.t.Helper()
	o := s.outbox
	seq, payload, n := o.TakeBatch(startTime, maxPayloadBytes)
	if next := o.NextBatchAt(); n != 5 || !next.IsZero() {
		s.t.Fatalf("got a batch of %d and the next one at %v, want 5 and none", n, next)
	}
	envelopes, err := Unpack(payload)
	if err != nil || string(envelopes[4].Body) != "r4" {
		s.t.Fatalf("Unpack: got %v, error %v; want r4 last and none", envelopes, err)
	}
	o.Cancel(envelopes[0].ID)
	got := o.AcceptResponses(afterStart(time.Second), seq, envelopes[:3])
	if len(got) != 2 || got[0].ID != envelopes[1].ID {
		s.t.Errorf("responses, one of them cancelled: got %v, want 2 from id %d on", got, envelopes[1].ID)
	}
	if got := o.AcceptResponses(afterStart(time.Second), seq, envelopes[:3]); len(got) != 0 {
		s.t.Errorf("the same responses again: got %v, want none", got)
	}
	if got := o.AcceptResponses(afterStart(2*time.Second), seq, envelopes[3:]); len(got) != 0 {
		s.t.Errorf("late responses: got %v, want none", got)
	}
}

// unansweredBatchesClosePath: for a while, or until another member leads.
func (s *outboxScenario) unansweredBatchesClosePath() {
	s.t.Helper()
	s.now = afterStart(3 * time.Second)
	for range maxUnansweredBatches {
		s.add("r")
		s.takeOne()
		s.now = s.now.Add(testSettings.HeartbeatTimeout)
		s.outbox.Tick(s.now)
	}
	if _, ok := s.outbox.Add(s.now, []byte("r")); ok || s.outbox.Path() != Unreachable {
		s.t.Errorf("after unanswered batches: got Add %v on path %v, want false on %v", ok, s.outbox.Path(), Unreachable)
	}
	if s.outbox.LeaderChanged(s.now, false); s.outbox.Path() != ViaStore {
		s.t.Errorf("with another leader: got path %v, want %v", s.outbox.Path(), ViaStore)
	}
}

// heartbeatsWaitWhileNobodyLeads: one that is in flight waits too. It returns that one's id.
func (s *outboxScenario) heartbeatsWaitWhileNobodyLeads() uint64 {
	s.t.Helper()
	o := s.outbox
	inFlight := s.add("last")
	s.takeOne()
	o.LeaderChanged(s.now, true)
	if next := o.NextBatchAt(); !next.IsZero() || o.Path() != ViaStore {
		s.t.Errorf("while nobody leads: got a batch at %v on path %v, want none on %v", next, o.Path(), ViaStore)
	}
	for range testSettings.MaxQueued - 1 {
		o.Cancel(s.add("given up"))
	}
	o.Tick(s.now)
	if _, ok := o.Add(s.now, nil); !ok {
		s.t.Error("Add after others were cancelled while nobody leads: got false, want true")
	}
	o.Cancel(o.lastID)
	return inFlight
}

// newLeaderGetsHeartbeatsAgain: those that were in flight, and those that were not written.
func (s *outboxScenario) newLeaderGetsHeartbeatsAgain(id uint64) {
	s.t.Helper()
	s.outbox.LeaderChanged(s.now, false)
	seq, payload := s.takeOne()
	envelopes, err := Unpack(payload)
	if err != nil || envelopes[0].ID != id || string(envelopes[0].Body) != "last" {
		s.t.Errorf("sent again: got %v, error %v; want id %d with body last", envelopes, err, id)
	}
	s.outbox.WriteFailed(seq)
	s.takeOne()
}

func (s *outboxScenario) pathIsRetried() {
	s.t.Helper()
	later := s.now.Add(testSettings.RetryAfter)
	if got := s.outbox.ObserveContact(later, false); got != ViaStore {
		s.t.Errorf("while the leader is unreachable: got path %v, want %v", got, ViaStore)
	}
	if got := s.outbox.ObserveContact(later, true); got != Direct {
		s.t.Errorf("when the leader is reachable: got path %v, want %v", got, Direct)
	}
}

// A heartbeat that is larger than a value holds up none of the others, and the queue goes into batches
// of the size that the state service accepts, the oldest first.
func TestBatchesFitMaxValueSize(t *testing.T) {
	settings := testSettings
	settings.MaxQueued, settings.MaxInFlight = 100, 100
	o := New(settings, nil)
	o.ObserveContact(startTime, false)
	for i := range 20 {
		size := 200
		if i == 3 {
			size = 5000
		}
		o.Add(startTime, randomBody(size))
	}
	var ids []uint64
	for range 40 {
		_, payload, n := o.TakeBatch(startTime, maxPayloadBytes)
		if n == 0 {
			break
		}
		envelopes, err := Unpack(payload)
		if err != nil || len(payload) > maxPayloadBytes || len(envelopes) != n {
			t.Fatalf("got %d envelopes in %d bytes, error %v; want %d in at most %d and none",
				len(envelopes), len(payload), err, n, maxPayloadBytes)
		}
		for _, e := range envelopes {
			ids = append(ids, e.ID)
		}
	}
	if next := o.NextBatchAt(); o.queue.bytes != 0 || !next.IsZero() {
		t.Errorf("an empty queue: got %d bytes and a batch at %v, want 0 and none", o.queue.bytes, next)
	}
	if _, ok := o.Add(startTime, make([]byte, settings.MaxQueuedBytes+1)); ok {
		t.Error("Add of more than all that may be queued: got true, want false")
	}
	if len(ids) != 19 || slices.Contains(ids, 4) || !slices.IsSorted(ids) {
		t.Errorf("got heartbeats %v, want 1 to 20 in order, without 4", ids)
	}
}
