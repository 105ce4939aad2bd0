package wire

import (
	"errors"
	"strconv"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

var phases = map[string]model.Phase{"pulling": model.Fetching, "gathering": model.Waiting, "running": model.Running,
	"saving": model.Saving, "exited": model.Exited}

var causes = map[string]model.Cause{"done": model.CauseDone, "halted": model.CauseStopped, "mates_gone": model.CausePeers,
	"incomplete": model.CauseAlone, "error": model.CauseError, "no_room": model.CauseNoRoom, "busy": model.CauseBusy,
	"no_such": model.CauseUnknown}

// TaskName writes a task's name on the wire.
func TaskName(t model.TaskID) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTask reads a task's name.
func ParseTask(s string) (model.TaskID, error) {
	job, idx, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(idx)
	if !ok || err != nil || n < 0 || n >= maxTasks || !model.JobIDValid(job) {
		return model.TaskID{}, errors.New("not a task")
	}
	return model.TaskID{Job: job, Index: n}, nil
}

// DecodeReport reads a worker's report. Tasks whose names no controller gives
// are left out: they cannot be commanded.
func DecodeReport(b []byte) (*model.Report, error) {
	r := &model.Report{}
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "tiller":
			return readStr(b, &r.Machine)
		case "addr":
			return readStr(b, &r.Addr)
		case "breed":
			return readStr(b, &r.Type)
		case "field":
			return readStr(b, &r.Zone)
		case "loaners":
			return readBool(b, &r.Spot)
		case "shift":
			return readUint(b, &r.Session)
		case "tick":
			return readUint(b, &r.Seq)
		case "baton":
			return readUint(b, &r.Token)
		case "recallS":
			var v float64
			rest, ok, err := readNum(b, &v)
			r.Notice, r.NoticeIn = true, seconds(min(max(v, 0), maxAmount))
			return rest, ok, err
		case "rows":
			rest, err := eachItem(b, func(b []byte) ([]byte, error) {
				t, rest, err := decodeRow(b)
				if err == nil && t.Phase != 0 {
					r.Tasks = append(r.Tasks, t)
				}
				return rest, err
			})
			return rest, true, err
		}
		return b, false, nil
	})
	if err == nil && (r.Machine == "" || len(r.Machine) > 100 || r.Session == 0) {
		err = errors.New("no machine or session")
	}
	return r, err
}

func decodeRow(b []byte) (model.TaskReport, []byte, error) {
	var t model.TaskReport
	var badName bool
	rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) {
		var s string
		switch key {
		case "row":
			rest, ok, err := readStr(b, &s)
			if err == nil {
				var nameErr error
				t.Task, nameErr = ParseTask(s)
				badName = nameErr != nil
			}
			return rest, ok, err
		case "try":
			return readUint(b, &t.Try)
		case "status":
			rest, ok, err := readStr(b, &s)
			if t.Phase = phases[s]; err == nil && t.Phase == 0 {
				err = errors.New("unknown")
			}
			return rest, ok, err
		case "cause":
			rest, ok, err := readStr(b, &s)
			if t.Cause = causes[s]; t.Cause == 0 {
				t.Cause = model.CauseError
			}
			return rest, ok, err
		case "saved":
			return readBool(b, &t.Saved)
		}
		return b, false, nil
	})
	if badName {
		t.Phase = 0
	}
	return t, rest, err
}

// appendOrders writes a list of commands.
func appendOrders(b []byte, orders []model.Order) []byte {
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
		b = appendStr(b, "verb", verb)
		b = appendStr(b, "row", TaskName(o.Task))
		b = appendUint(b, "try", o.Try)
		if o.Op == model.OpStop {
			b = appendNum(b, "windDownS", o.Grace.Seconds())
		}
	}
	return b
}

// AppendReportAnswer writes the answer to a report.
func AppendReportAnswer(b []byte, token uint64, orders []model.Order) []byte {
	return appendOrders(appendUint(msgp.AppendMapHeader(b, 2), "baton", token), orders)
}

// AppendCommands writes the body of direct commands.
func AppendCommands(b []byte, token, session uint64, orders []model.Order) []byte {
	b = appendUint(msgp.AppendMapHeader(b, 3), "baton", token)
	return appendOrders(appendUint(b, "shift", session), orders)
}
