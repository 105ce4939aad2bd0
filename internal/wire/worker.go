package wire

import (
	"errors"
	"strconv"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

const maxMachineNameLength = 100

// phases maps the published names of phases to their values.
var phases = map[string]model.Phase{
	"pulling":   model.PhaseFetching,
	"gathering": model.PhaseWaiting,
	"running":   model.PhaseRunning,
	"saving":    model.PhaseCheckpointing,
	"exited":    model.PhaseExited,
}

// exitCauses maps the published names of exit causes to their values.
var exitCauses = map[string]model.ExitCause{
	"done":       model.CauseDone,
	"halted":     model.CauseStopped,
	"mates_gone": model.CauseGangMemberLost,
	"incomplete": model.CauseGangIncomplete,
	"error":      model.CauseError,
	"no_room":    model.CauseNoCapacity,
	"busy":       model.CauseAttemptConflict,
	"no_such":    model.CauseUnknownJob,
}

// TaskName returns the name of a task on the wire, such as "wk-000412/3".
func TaskName(t model.TaskID) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskName parses a name in the form that TaskName returns.
func ParseTaskName(s string) (model.TaskID, error) {
	job, number, ok := strings.Cut(s, "/")
	index, err := strconv.Atoi(number)
	if !ok || err != nil || index < 0 || index >= maxTasks || !model.ValidJobID(job) {
		return model.TaskID{}, errors.New("invalid task name")
	}
	return model.TaskID{Job: job, Index: index}, nil
}

// DecodeHeartbeat decodes a worker's heartbeat. It skips task statuses without a phase, and those with a task name that
// no controller assigns, because no command could refer to such a task. The returned heartbeat is not nil even if
// there is an error.
func DecodeHeartbeat(b []byte) (*model.Heartbeat, error) {
	h := &model.Heartbeat{}
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case workerName:
			return readString(b, &h.Machine)
		case workerAddr:
			return readString(b, &h.Addr)
		case workerMachineType:
			return readString(b, &h.Type)
		case workerZone:
			return readString(b, &h.Zone)
		case workerSpot:
			return readBool(b, &h.Spot)
		case workerEpoch:
			return readUint(b, &h.Epoch)
		case workerSeq:
			return readUint(b, &h.Seq)
		case workerFencingToken:
			return readUint(b, &h.FencingToken)
		case workerInterruptionIn:
			return readInterruption(b, h)
		case workerTasks:
			return readTasks(b, &h.Tasks)
		}
		return b, false, nil
	})
	if err == nil && (h.Machine == "" || len(h.Machine) > maxMachineNameLength || h.Epoch == 0) {
		err = errors.New("heartbeat has no valid machine name or no epoch")
	}
	return h, err
}

func readInterruption(b []byte, h *model.Heartbeat) ([]byte, bool, error) {
	var s float64
	rest, handled, err := readFloat(b, &s)
	h.InterruptionNotice = true
	h.InterruptionIn = secondsToDuration(min(max(s, 0), maxAmount))
	return rest, handled, err
}

func readTasks(b []byte, dst *[]model.TaskStatus) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		t, valid, rest, err := decodeTaskStatus(b)
		if err == nil && valid {
			*dst = append(*dst, t)
		}
		return rest, err
	})
	return rest, true, err
}

// decodeTaskStatus decodes the status of one task. valid reports whether the status has a phase and its task name, if
// it has one, is accepted by ParseTaskName.
func decodeTaskStatus(b []byte) (t model.TaskStatus, valid bool, rest []byte, err error) {
	var invalidName bool
	rest, err = eachField(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case workerTask:
			var s string
			rest, handled, err := readString(b, &s)
			if err == nil {
				var nameErr error
				t.Task, nameErr = ParseTaskName(s)
				invalidName = nameErr != nil
			}
			return rest, handled, err
		case workerAttempt:
			return readUint(b, &t.Attempt)
		case workerPhase:
			return readEnum(b, phases, &t.Phase)
		case workerExitCause:
			return readExitCause(b, &t.Cause)
		case workerCheckpointed:
			return readBool(b, &t.Checkpointed)
		}
		return b, false, nil
	})
	return t, t.Phase != 0 && !invalidName, rest, err
}

// readExitCause reads the cause of an exit. An unknown cause, which a later version may send, becomes CauseError.
func readExitCause(b []byte, dst *model.ExitCause) ([]byte, bool, error) {
	var s string
	rest, handled, err := readString(b, &s)
	cause, known := exitCauses[s]
	if !known {
		cause = model.CauseError
	}
	*dst = cause
	return rest, handled, err
}

// AppendHeartbeatResponse appends the response to a heartbeat, with commands for the worker.
func AppendHeartbeatResponse(b []byte, fencingToken uint64, commands []model.Command) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, workerFencingToken, fencingToken)
	return appendCommandList(b, commands)
}

// AppendCommands appends the body of a request that sends commands directly to a worker. epoch is the epoch of the
// worker for which the commands are meant.
func AppendCommands(b []byte, fencingToken, epoch uint64, commands []model.Command) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendUint(b, workerFencingToken, fencingToken)
	b = appendUint(b, workerEpoch, epoch)
	return appendCommandList(b, commands)
}

func appendCommandList(b []byte, commands []model.Command) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(b, workerCommands), uint32(len(commands)))
	for _, c := range commands {
		b = appendCommand(b, c)
	}
	return b
}

func appendCommand(b []byte, c model.Command) []byte {
	op, fields := "", uint32(3)
	switch c.Op {
	case model.OpLaunch:
		op = commandLaunch
	case model.OpStop:
		op, fields = commandStop, 4
	case model.OpForget:
		op = commandForget
	}
	b = msgp.AppendMapHeader(b, fields)
	b = appendString(b, workerCommandOp, op)
	b = appendString(b, workerTask, TaskName(c.Task))
	b = appendUint(b, workerAttempt, c.Attempt)
	if c.Op == model.OpStop {
		b = appendFloat(b, workerStopGracePeriod, c.GracePeriod.Seconds())
	}
	return b
}
