package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var testSettings = Settings{BatchInterval: 250 * time.Millisecond, MaxQueued: 5, MaxQueuedBytes: 1 << 20, MaxInFlight: 2, HeartbeatTimeout: 2 * time.Second, RetryAfter: 8 * time.Second}

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

func TestPackUnpackRoundTrip(t *testing.T) {
	for range 200 {
		var letters []Envelope
		for range 1 + random.IntN(40) {
			letters = append(letters, Envelope{random.Uint64(), randomBody(random.IntN(300))})
		}
		size := 10 + random.IntN(20_000)
		text, n := Pack(letters, size)
		got, err := Unpack(text)
		if len(text) > size || n > 0 && (err != nil || !slices.EqualFunc(got, letters[:n], func(a, b Envelope) bool { return a.ID == b.ID && string(a.Body) == string(b.Body) })) {
			t.Fatalf("%d letters in %d bytes of %d: %v", n, len(text), size, err)
		}
	}
}

func TestUnpackRejectsMalformedBatch(t *testing.T) {
	good := encode([]Envelope{{1, []byte("abc")}})
	for _, bad := range []string{"", "%", "AAAA", good[:len(good)-3], encode([]Envelope{{1, make([]byte, maxUnpackedBytes)}})} {
		if got, err := Unpack(bad); err == nil && len(got) > 0 {
			t.Errorf("%.20q is taken for %d letters", bad, len(got))
		}
	}
}

func TestOutboxPathToUnreachableLeader(t *testing.T) {
	var moves []string
	o := New(testSettings, func(from, to Path, why string) { moves = append(moves, fmt.Sprintf("%v-%v", from, to)) })
	if _, ok := o.Add(startTime, []byte("r")); ok {
		t.Error("a report is taken although the leader is within reach")
	}
	o.ObserveContact(startTime, false)
	for i := range 7 {
		if _, ok := o.Add(startTime, []byte(fmt.Sprint("r", i))); ok != (i < testSettings.MaxQueued) {
			t.Errorf("report %d of a queue of %d: taken %v", i, testSettings.MaxQueued, ok)
		}
	}
	seq, text, n := o.TakeBatch(startTime, 1000)
	if n != 5 || !o.NextBatchAt(startTime).IsZero() {
		t.Fatalf("a batch of %d", n)
	}
	letters, err := Unpack(text)
	if err != nil || string(letters[4].Body) != "r4" {
		t.Fatal(err, letters)
	}
	// Answers reach those that still wait, once.
	o.Cancel(letters[0].ID)
	if live := o.AcceptResponses(afterStart(time.Second), seq, letters[:3]); len(live) != 2 || live[0].ID != letters[1].ID {
		t.Errorf("answers for %v", live)
	}
	if live := o.AcceptResponses(afterStart(time.Second), seq, letters[:3]); len(live) != 0 {
		t.Errorf("answered twice: %v", live)
	}
	// What comes after its worker has given up reaches nobody.
	if live := o.AcceptResponses(afterStart(2*time.Second), seq, letters[3:]); len(live) != 0 {
		t.Errorf("a late answer for %v", live)
	}
	// Batches that nobody answers close the path for a while.
	now := afterStart(3 * time.Second)
	for range maxUnansweredBatches {
		if _, ok := o.Add(now, []byte("r")); !ok {
			t.Fatal("not taken")
		}
		if _, _, n := o.TakeBatch(now, 1000); n != 1 {
			t.Fatal("no batch")
		}
		now = now.Add(testSettings.HeartbeatTimeout)
		o.Tick(now)
	}
	if _, ok := o.Add(now, []byte("r")); ok || o.Path() != Unreachable {
		t.Errorf("a report is taken on path %v", o.Path())
	}
	if o.LeaderChanged(now, false); o.Path() != ViaStore {
		t.Error("another leader is not tried")
	}
	// A report is out when the leader goes: it waits, and goes to the next one.
	id, _ := o.Add(now, []byte("last"))
	if _, _, n := o.TakeBatch(now, 1000); n != 1 {
		t.Fatal("no batch")
	}
	o.LeaderChanged(now, true)
	if !o.NextBatchAt(now).IsZero() || o.Path() != ViaStore {
		t.Error("a batch is due although nobody leads, or what kept this member from the last leader is forgotten")
	}
	for range testSettings.MaxQueued - 1 {
		gone, ok := o.Add(now, []byte("given up"))
		if !ok {
			t.Fatal("not taken while nobody leads")
		}
		o.Cancel(gone)
	}
	o.Tick(now)
	if _, ok := o.Add(now, nil); !ok {
		t.Error("what was given up while nobody leads takes the place of others")
	}
	o.Cancel(o.lastID)
	o.LeaderChanged(now, false)
	seq, text, n = o.TakeBatch(now, 1000)
	if letters, err := Unpack(text); err != nil || n != 1 || letters[0].ID != id || string(letters[0].Body) != "last" {
		t.Errorf("sent again: %d %v %v", n, letters, err)
	}
	o.WriteFailed(seq)
	if _, _, n = o.TakeBatch(now, 1000); n != 1 {
		t.Error("what was not written is not sent again")
	}
	if o.ObserveContact(now.Add(testSettings.RetryAfter), false) != ViaStore || o.ObserveContact(now.Add(testSettings.RetryAfter), true) != Direct {
		t.Error("the path is not tried again")
	}
	if got := strings.Join(moves, " "); got != "direct-post post-lost lost-post post-direct" {
		t.Error(got)
	}
}

// A report that is larger than a value holds up none of the others, and what waits fits into batches
// of the size that the platform allows, the oldest first.
func TestBatchesFitMaxValueSize(t *testing.T) {
	big := testSettings
	big.MaxQueued, big.MaxInFlight = 100, 100
	o := New(big, nil)
	o.ObserveContact(startTime, false)
	for i := range 20 {
		n := 200
		if i == 3 {
			n = 5000
		}
		o.Add(startTime, randomBody(n))
	}
	var ids []uint64
	for range 40 {
		_, text, n := o.TakeBatch(startTime, 1000)
		if n == 0 {
			break
		}
		letters, err := Unpack(text)
		if err != nil || len(text) > 1000 || len(letters) != n {
			t.Fatal(err, len(text), n)
		}
		for _, l := range letters {
			ids = append(ids, l.ID)
		}
	}
	if o.queuedBytes != 0 || !o.NextBatchAt(startTime).IsZero() {
		t.Errorf("%d bytes are still counted", o.queuedBytes)
	}
	if _, ok := o.Add(startTime, make([]byte, big.MaxQueuedBytes+1)); ok {
		t.Error("more than all that may wait is taken")
	}
	if len(ids) != 19 || slices.Contains(ids, 4) || !slices.IsSorted(ids) {
		t.Errorf("went in this order: %v", ids)
	}
}
