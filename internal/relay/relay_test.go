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

func timeAfterStart(d time.Duration) time.Time { return startTime.Add(d) }

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
		payload, count := Pack(envelopes, maxBytes)
		got, err := Unpack(payload)
		if len(payload) > maxBytes {
			t.Fatalf("got a payload of %d bytes, want at most %d", len(payload), maxBytes)
		}
		if count > 0 && (err != nil || !slices.EqualFunc(got, envelopes[:count], equalEnvelopes)) {
			t.Fatalf("Unpack: got %d envelopes, error %v; want the %d that were packed", len(got), err, count)
		}
	}
}

func TestUnpackRejectsMalformedBatch(t *testing.T) {
	valid := encode([]Envelope{{1, []byte("abc")}})
	tooLarge := encode([]Envelope{{1, make([]byte, maxUnpackedBytes)}})
	for _, payload := range []string{"", "%", "AAAA", valid[:len(valid)-3], tooLarge} {
		got, err := Unpack(payload)
		if err == nil && len(got) > 0 {
			t.Errorf("Unpack(%.20q): got %d envelopes and no error, want none or an error", payload, len(got))
		}
		if err != nil && !errors.Is(err, ErrMalformedBatch) {
			t.Errorf("Unpack(%.20q): got error %v, want ErrMalformedBatch", payload, err)
		}
	}
}

// outboxScenario is the state that the steps of TestOutboxPathToUnreachableLeader share.
type outboxScenario struct {
	t      *testing.T
	outbox *Outbox
	now    time.Time
	paths  []string // changes of the path, as "from-to"
}

// add adds a heartbeat, which the outbox must accept, and returns its ID.
func (s *outboxScenario) add(body string) uint64 {
	s.t.Helper()
	id, ok := s.outbox.Add(s.now, []byte(body))
	if !ok {
		s.t.Fatalf("Add %q on path %v: got false, want true", body, s.outbox.Path())
	}
	return id
}

// takeOne takes a batch, which must contain exactly one heartbeat.
func (s *outboxScenario) takeOne() (seq uint64, payload string) {
	s.t.Helper()
	seq, payload, count := s.outbox.TakeBatch(s.now, maxPayloadBytes)
	if count != 1 {
		s.t.Fatalf("TakeBatch: got %d heartbeats, want 1", count)
	}
	return seq, payload
}

// Takes one outbox through the loss of the connection to the leader, batches that the leader does not answer, a
// change of leader, and the return of the connection.
func TestOutboxPathToUnreachableLeader(t *testing.T) {
	s := &outboxScenario{t: t, now: startTime}
	s.outbox = New(testSettings, func(from, to Path, _ string) {
		s.paths = append(s.paths, fmt.Sprintf("%v-%v", from, to))
	})
	s.checkQueueBound()
	s.checkResponsesDeliveredOnce()
	s.checkUnansweredBatchesClosePath()
	heartbeat := s.checkHeartbeatsWaitWithoutLeader()
	s.checkNewLeaderReceivesResent(heartbeat)
	s.checkPathRetried()
	if got, want := strings.Join(s.paths, " "), "direct-post post-lost lost-post post-direct"; got != want {
		t.Errorf("got changes of the path %q, want %q", got, want)
	}
}

// checkQueueBound checks that heartbeats are accepted only while the leader is unreachable, and up to MaxQueued.
func (s *outboxScenario) checkQueueBound() {
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

// checkResponsesDeliveredOnce checks that a response is dropped if its worker has given up or if it is late, and
// that none is delivered twice.
func (s *outboxScenario) checkResponsesDeliveredOnce() {
	s.t.Helper()
	o := s.outbox
	seq, payload, count := o.TakeBatch(startTime, maxPayloadBytes)
	if next := o.NextBatchAt(); count != 5 || !next.IsZero() {
		s.t.Fatalf("got a batch of %d and the next one at %v, want 5 and none", count, next)
	}
	envelopes, err := Unpack(payload)
	if err != nil || string(envelopes[4].Body) != "r4" {
		s.t.Fatalf("Unpack: got %v, error %v; want r4 as the last body and no error", envelopes, err)
	}
	o.Cancel(envelopes[0].ID)
	got := o.AcceptResponses(timeAfterStart(time.Second), seq, envelopes[:3])
	if len(got) != 2 || got[0].ID != envelopes[1].ID {
		s.t.Errorf("responses, the first one cancelled: got %v, want 2 from ID %d on", got, envelopes[1].ID)
	}
	if got := o.AcceptResponses(timeAfterStart(time.Second), seq, envelopes[:3]); len(got) != 0 {
		s.t.Errorf("the same responses again: got %v, want none", got)
	}
	if got := o.AcceptResponses(timeAfterStart(2*time.Second), seq, envelopes[3:]); len(got) != 0 {
		s.t.Errorf("late responses: got %v, want none", got)
	}
}

// checkUnansweredBatchesClosePath checks that unanswered batches close the path until another member leads.
func (s *outboxScenario) checkUnansweredBatchesClosePath() {
	s.t.Helper()
	s.now = timeAfterStart(3 * time.Second)
	for range maxUnansweredBatches {
		s.add("r")
		s.takeOne()
		s.now = s.now.Add(testSettings.HeartbeatTimeout)
		s.outbox.Tick(s.now)
	}
	if _, ok := s.outbox.Add(s.now, []byte("r")); ok || s.outbox.Path() != PathNone {
		s.t.Errorf("after unanswered batches: got Add %v on path %v, want false on %v", ok, s.outbox.Path(), PathNone)
	}
	if s.outbox.LeaderChanged(s.now, false); s.outbox.Path() != PathViaStateService {
		s.t.Errorf("after a change of leader: got path %v, want %v", s.outbox.Path(), PathViaStateService)
	}
}

// checkHeartbeatsWaitWithoutLeader checks that heartbeats stay in the outbox while no member leads, also one that
// is in flight, and that cancelled ones do not fill the queue. It returns the ID of the one in flight.
func (s *outboxScenario) checkHeartbeatsWaitWithoutLeader() uint64 {
	s.t.Helper()
	o := s.outbox
	inFlight := s.add("last")
	s.takeOne()
	o.LeaderChanged(s.now, true)
	if next := o.NextBatchAt(); !next.IsZero() || o.Path() != PathViaStateService {
		s.t.Errorf("without a leader: got a batch at %v on path %v, want none on %v", next, o.Path(), PathViaStateService)
	}
	for range testSettings.MaxQueued - 1 {
		o.Cancel(s.add("given up"))
	}
	o.Tick(s.now)
	if _, ok := o.Add(s.now, nil); !ok {
		s.t.Error("Add after others were cancelled, without a leader: got false, want true")
	}
	o.Cancel(o.lastID)
	return inFlight
}

// checkNewLeaderReceivesResent checks that a heartbeat that was in flight when the leader changed is sent again,
// and again after its batch could not be written.
func (s *outboxScenario) checkNewLeaderReceivesResent(id uint64) {
	s.t.Helper()
	s.outbox.LeaderChanged(s.now, false)
	seq, payload := s.takeOne()
	envelopes, err := Unpack(payload)
	if err != nil || envelopes[0].ID != id || string(envelopes[0].Body) != "last" {
		s.t.Errorf("sent again: got %v, error %v; want ID %d with body last", envelopes, err, id)
	}
	s.outbox.WriteFailed(seq)
	s.takeOne()
}

// checkPathRetried checks that the outbox keeps relaying while the leader is unreachable, and stops as soon as the
// leader is reachable.
func (s *outboxScenario) checkPathRetried() {
	s.t.Helper()
	later := s.now.Add(testSettings.RetryAfter)
	if got := s.outbox.ObserveContact(later, false); got != PathViaStateService {
		s.t.Errorf("while the leader is unreachable: got path %v, want %v", got, PathViaStateService)
	}
	if got := s.outbox.ObserveContact(later, true); got != PathDirect {
		s.t.Errorf("when the leader is reachable: got path %v, want %v", got, PathDirect)
	}
}

// A heartbeat that is too large for a value of the state service must not block the others. They must go out in
// batches of the size that the state service accepts, the oldest first.
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
		_, payload, count := o.TakeBatch(startTime, maxPayloadBytes)
		if count == 0 {
			break
		}
		envelopes, err := Unpack(payload)
		if err != nil || len(payload) > maxPayloadBytes || len(envelopes) != count {
			t.Fatalf("got %d envelopes in %d bytes, error %v; want %d in at most %d and none",
				len(envelopes), len(payload), err, count, maxPayloadBytes)
		}
		for _, e := range envelopes {
			ids = append(ids, e.ID)
		}
	}
	if next := o.NextBatchAt(); o.queue.bodyBytes != 0 || !next.IsZero() {
		t.Errorf("after the last batch: got %d queued bytes and a batch at %v, want 0 and none", o.queue.bodyBytes, next)
	}
	if _, ok := o.Add(startTime, make([]byte, settings.MaxQueuedBytes+1)); ok {
		t.Error("Add of a heartbeat larger than MaxQueuedBytes: got true, want false")
	}
	if len(ids) != 19 || slices.Contains(ids, 4) || !slices.IsSorted(ids) {
		t.Errorf("got heartbeats %v, want 1 to 20 in order, without 4", ids)
	}
}
