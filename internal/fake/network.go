package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// network is what becomes of messages between controllers, and between controllers and workers.
type network struct {
	ControllersPartitioned bool // controllers do not reach each other

	RetainedHeartbeats    []*model.Heartbeat // copies that the network keeps; the oldest go first
	MaxRetainedHeartbeats int                // that the network keeps, and as many direct commands
	HeldCommands          []func()           // direct commands that may be delivered later
	HoldCommands          bool               // hold all direct commands back; their senders give up
	NextDelivery          func() Delivery    // what becomes of the next direct command; nil: Delivered
	RepeatableCommands    []RepeatableCommand
	DirectCommands        int // that controllers have sent
}

// RepeatableCommand is a direct command that was carried out, and that the network may repeat.
type RepeatableCommand struct {
	DeliveredAt time.Time
	Repeat      func()
}

// Delivery is what becomes of a direct command on its way.
type Delivery uint8

// The ways in which direct commands are delivered.
const (
	Delivered  Delivery = iota
	AnswerLost          // carried out, but its answer is lost
	Delayed             // not answered; it may arrive later
	Dropped             // not answered, and never arrives
)

// retainHeartbeat keeps a copy of a heartbeat.
func (n *network) retainHeartbeat(h *model.Heartbeat) {
	if n.MaxRetainedHeartbeats == 0 {
		return
	}
	if len(n.RetainedHeartbeats) >= n.MaxRetainedHeartbeats {
		n.RetainedHeartbeats = n.RetainedHeartbeats[1:]
	}
	n.RetainedHeartbeats = append(n.RetainedHeartbeats, h)
}

// retainCommand keeps a direct command that is carried out now.
func (n *network) retainCommand(now time.Time, repeat func()) {
	if n.MaxRetainedHeartbeats == 0 {
		return
	}
	surplus := max(0, len(n.RepeatableCommands)-n.MaxRetainedHeartbeats)
	n.RepeatableCommands = append(n.RepeatableCommands[surplus:], RepeatableCommand{now, repeat})
}

// hold keeps a direct command back.
func (n *network) hold(deliver func()) { n.HeldCommands = append(n.HeldCommands, deliver) }

// nextDelivery decides what becomes of the next direct command.
func (n *network) nextDelivery() Delivery {
	if n.NextDelivery == nil {
		return Delivered
	}
	return n.NextDelivery()
}

// DeliverHeldCommands has the commands arrive that the network has held back.
func (w *World) DeliverHeldCommands() {
	held := w.HeldCommands
	w.HeldCommands = nil
	for _, deliver := range held {
		deliver()
		w.CheckInvariants()
	}
}

// sendBetween carries a message from one controller to another, unless one is down or they are cut off from each
// other. One that is sent to a controller that restarts meanwhile is lost.
func (w *World) sendBetween(from, to *Controller, deliver func()) {
	if !from.Up || !to.Up || w.ControllersPartitioned || from.PeersUnreachable || to.PeersUnreachable {
		return
	}
	incarnation := to.Election
	to.deferred = append(to.deferred, func() {
		if to.Election == incarnation {
			deliver()
		}
	})
}

// sendHeartbeat has a worker report to its controller and take the answer.
func (w *World) sendHeartbeat(worker *Worker) {
	sent := w.now
	c := w.Controllers[worker.controllerIndex]
	heartbeat := worker.NextHeartbeat()
	w.retainHeartbeat(heartbeat)
	answer, ok := c.handleHeartbeat(heartbeat, false)
	if leader := w.Leader(); worker.InboundBlocked && !ok && w.relays(c, leader) {
		leader.handleHeartbeat(heartbeat, true)
	}
	switch {
	case worker.InboundBlocked: // it waits for its answer, and then tries the next controller
		w.tryNextController(worker, 5*time.Second)
		worker.awaitingAnswer = true
	case ok:
		worker.HandleAnswer(heartbeat.Epoch, sent, answer.token, answer.commands)
	default:
		w.tryNextController(worker, time.Second)
	}
}

// relays tells whether a controller passes heartbeats on to the leader.
func (w *World) relays(c, leader *Controller) bool {
	return c.Up && leader != nil && leader != c && !c.PeersUnreachable && !leader.PeersUnreachable
}

// tryNextController has a worker report to the next controller after a delay.
func (w *World) tryNextController(worker *Worker, after time.Duration) {
	worker.controllerIndex = (worker.controllerIndex + 1) % len(w.Controllers)
	worker.Retry(after)
}

// ReplayHeartbeat has a copy of an earlier heartbeat arrive at a controller. Nobody waits for its answer.
func (w *World) ReplayHeartbeat(c *Controller, heartbeat *model.Heartbeat) {
	c.handleHeartbeat(heartbeat, false)
	w.CheckInvariants()
}
