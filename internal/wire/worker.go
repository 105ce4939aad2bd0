package wire

import (
	"errors"
	"strconv"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

var phases = map[string]model.Phase{"pulling": model.PhaseFetching, "gathering": model.PhaseWaiting, "running": model.PhaseRunning,
	"saving": model.PhaseCheckpointing, "exited": model.PhaseExited}

var causes = map[string]model.ExitCause{"done": model.CauseDone, "halted": model.CauseStopped, "mates_gone": model.CauseGangMemberLost,
	"incomplete": model.CauseGangIncomplete, "error": model.CauseError, "no_room": model.CauseNoCapacity, "busy": model.CauseAttemptConflict,
	"no_such": model.CauseUnknownJob}

// TaskName writes a task's name on the wire.
func TaskName(t model.TaskID) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskName reads a task's name.
func ParseTaskName(s string) (model.TaskID, error) {
	job, idx, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(idx)
	if !ok || err != nil || n < 0 || n >= maxTasks || !model.ValidJobID(job) {
		return model.TaskID{}, errors.New("not a task")
	}
	return model.TaskID{Job: job, Index: n}, nil
}

// DecodeHeartbeat reads a worker's report. Tasks whose names no controller gives
// are left out: they cannot be commanded.
func DecodeHeartbeat(b []byte) (*model.Heartbeat, error) {
	r := &model.Heartbeat{}
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "tiller":
			return readString(b, &r.Machine)
		case "addr":
			return readString(b, &r.Addr)
		case "breed":
			return readString(b, &r.Type)
		case "field":
			return readString(b, &r.Zone)
		case "loaners":
			return readBool(b, &r.Spot)
		case "shift":
			return readUint(b, &r.Epoch)
		case "tick":
			return readUint(b, &r.Seq)
		case "baton":
			return readUint(b, &r.FencingToken)
		case "recallS":
			var v float64
			rest, ok, err := readFloat(b, &v)
			r.InterruptionNotice, r.InterruptionIn = true, seconds(min(max(v, 0), maxAmount))
			return rest, ok, err
		case "rows":
			rest, err := eachItem(b, func(b []byte) ([]byte, error) {
				t, rest, err := decodeTaskStatus(b)
				if err == nil && t.Phase != 0 {
					r.Tasks = append(r.Tasks, t)
				}
				return rest, err
			})
			return rest, true, err
		}
		return b, false, nil
	})
	if err == nil && (r.Machine == "" || len(r.Machine) > 100 || r.Epoch == 0) {
		err = errors.New("no machine or session")
	}
	return r, err
}

func decodeTaskStatus(b []byte) (model.TaskStatus, []byte, error) {
	var t model.TaskStatus
	var badName bool
	rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) {
		var s string
		switch key {
		case "row":
			rest, ok, err := readString(b, &s)
			if err == nil {
				var nameErr error
				t.Task, nameErr = ParseTaskName(s)
				badName = nameErr != nil
			}
			return rest, ok, err
		case "try":
			return readUint(b, &t.Attempt)
		case "status":
			rest, ok, err := readString(b, &s)
			if t.Phase = phases[s]; err == nil && t.Phase == 0 {
				err = errors.New("unknown")
			}
			return rest, ok, err
		case "cause":
			rest, ok, err := readString(b, &s)
			if t.Cause = causes[s]; t.Cause == 0 {
				t.Cause = model.CauseError
			}
			return rest, ok, err
		case "saved":
			return readBool(b, &t.Checkpointed)
		}
		return b, false, nil
	})
	if badName {
		t.Phase = 0
	}
	return t, rest, err
}

// appendCommandList writes a list of commands.
func appendCommandList(b []byte, orders []model.Command) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "orders"), uint32(len(orders)))
	for _, o := range orders {
		verb, n := "", uint32(3)
		switch o.Op {
		case model.OpLaunch:
			verb = "launch"
		case model.OpStop:
			verb, n = "stop", 4
		case model.OpForget:
			verb = "forget"
		}
		b = msgp.AppendMapHeader(b, n)
		b = appendString(b, "verb", verb)
		b = appendString(b, "row", TaskName(o.Task))
		b = appendUint(b, "try", o.Attempt)
		if o.Op == model.OpStop {
			b = appendFloat(b, "windDownS", o.GracePeriod.Seconds())
		}
	}
	return b
}

// AppendHeartbeatResponse writes the answer to a report.
func AppendHeartbeatResponse(b []byte, token uint64, orders []model.Command) []byte {
	return appendCommandList(appendUint(msgp.AppendMapHeader(b, 2), "baton", token), orders)
}

// AppendCommands writes the body of direct commands.
func AppendCommands(b []byte, token, session uint64, orders []model.Command) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 3), "baton", token)
	return appendCommandList(appendUint(b, "shift", session), orders)
}
