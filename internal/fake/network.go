package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// network simulates the network between the controllers, and between controllers and workers. It can lose, delay and
// repeat direct commands, and it keeps copies of heartbeats for replay.
type network struct {
	ControllersPartitioned bool // no messages pass between controllers

	RetainedHeartbeats  []*model.Heartbeat  // copies of the latest heartbeats, oldest first
	MaxRetainedMessages int                 // limit on retained heartbeats and on repeatable commands; 0 retains none
	HeldCommands        []func()            // undelivered direct commands; calling one delivers it
	HoldCommands        bool                // hold all direct commands; their senders receive no answer
	NextDelivery        func() Delivery     // returns how the next direct command is delivered; nil means CommandDelivered
	RepeatableCommands  []RepeatableCommand // the latest direct commands that were executed, oldest first
	DirectCommands      int                 // number of direct commands that controllers have sent
}

// RepeatableCommand is a direct command that was delivered and that the network may deliver again.
type RepeatableCommand struct {
	DeliveredAt time.Time
	Repeat      func() // delivers the command again; its answer is lost
}

// Delivery is how the network treats a direct command.
type Delivery uint8

// The ways in which the network treats a direct command.
const (
	CommandDelivered  Delivery = iota // the command and its answer are delivered
	CommandAnswerLost                 // the command is delivered, but its answer is lost
	CommandDelayed                    // the sender receives no answer, and the command may be delivered later
	CommandDropped                    // the sender receives no answer, and the command is never delivered
)

// retainHeartbeat retains a heartbeat for replay and drops the oldest one if there are too many.
func (n *network) retainHeartbeat(h *model.Heartbeat) {
	if n.MaxRetainedMessages == 0 {
		return
	}
	if len(n.RetainedHeartbeats) >= n.MaxRetainedMessages {
		n.RetainedHeartbeats = n.RetainedHeartbeats[1:]
	}
	n.RetainedHeartbeats = append(n.RetainedHeartbeats, h)
}

// retainCommand retains a direct command that is delivered now, and drops the oldest ones if there are too many.
func (n *network) retainCommand(now time.Time, repeat func()) {
	if n.MaxRetainedMessages == 0 {
		return
	}
	surplus := max(0, len(n.RepeatableCommands)-n.MaxRetainedMessages)
	n.RepeatableCommands = append(n.RepeatableCommands[surplus:], RepeatableCommand{now, repeat})
}

// holdCommand holds a direct command; deliver delivers it.
func (n *network) holdCommand(deliver func()) { n.HeldCommands = append(n.HeldCommands, deliver) }

// nextDelivery returns how to treat the next direct command.
func (n *network) nextDelivery() Delivery {
	if n.NextDelivery == nil {
		return CommandDelivered
	}
	return n.NextDelivery()
}

// DeliverHeldCommands delivers the commands that the network holds, and checks the invariants after each.
func (w *World) DeliverHeldCommands() {
	held := w.HeldCommands
	w.HeldCommands = nil
	for _, deliver := range held {
		deliver()
		w.CheckInvariants()
	}
}

// sendBetween sends a message from one controller to another. deliver is called when the message arrives, in the
// receiver's next step. The message is lost if one of them is down, if they cannot reach each other, or if the receiver
// restarts before the message arrives.
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

// sendHeartbeat sends a heartbeat of a worker to the controller that it reports to, and passes the response back. If
// the worker receives no responses, a controller that does not answer heartbeats itself relays the heartbeat to the
// leader.
func (w *World) sendHeartbeat(worker *Worker) {
	sent := w.now
	c := w.Controllers[worker.controllerIndex]
	heartbeat := worker.NextHeartbeat()
	w.retainHeartbeat(heartbeat)
	response, ok := c.handleHeartbeat(heartbeat, false)
	if leader := w.Leader(); worker.InboundBlocked && !ok && w.canRelay(c, leader) {
		leader.handleHeartbeat(heartbeat, true)
	}
	switch {
	case worker.InboundBlocked: // the worker waits for the response, which is lost, and then tries the next controller
		w.tryNextController(worker, 5*time.Second)
		worker.awaitingResponse = true
	case ok:
		worker.HandleHeartbeatResponse(heartbeat.Epoch, sent, response.fencingToken, response.commands)
	default:
		w.tryNextController(worker, time.Second)
	}
}

// canRelay reports whether a controller can forward heartbeats to the leader.
func (w *World) canRelay(c, leader *Controller) bool {
	return c.Up && leader != nil && leader != c && !c.PeersUnreachable && !leader.PeersUnreachable
}

// tryNextController makes a worker send its next heartbeat to the next controller after a delay.
func (w *World) tryNextController(worker *Worker, after time.Duration) {
	worker.controllerIndex = (worker.controllerIndex + 1) % len(w.Controllers)
	worker.Retry(after)
}

// ReplayHeartbeat delivers a copy of an earlier heartbeat to a controller. The response is lost.
func (w *World) ReplayHeartbeat(c *Controller, heartbeat *model.Heartbeat) {
	c.handleHeartbeat(heartbeat, false)
	w.CheckInvariants()
}
