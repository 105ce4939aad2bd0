package scale

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// The outside ends of the published interfaces, of which package wire has the controllers' ends.

var phaseNames = map[model.Phase]string{
	model.PhaseFetching:      "pulling",
	model.PhaseWaiting:       "gathering",
	model.PhaseRunning:       "running",
	model.PhaseCheckpointing: "saving",
	model.PhaseExited:        "exited",
}

var causeNames = map[model.ExitCause]string{
	model.CauseDone:            "done",
	model.CauseStopped:         "halted",
	model.CauseGangMemberLost:  "mates_gone",
	model.CauseGangIncomplete:  "incomplete",
	model.CauseError:           "error",
	model.CauseNoCapacity:      "no_room",
	model.CauseAttemptConflict: "busy",
	model.CauseUnknownJob:      "no_such",
}

var verbs = map[string]model.Op{"launch": model.OpLaunch, "stop": model.OpStop, "forget": model.OpForget}

// appendReport writes a worker's report.
func appendReport(b []byte, r *model.Heartbeat) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = text(b, "tiller", r.Machine)
	b = text(b, "addr", r.Addr)
	b = text(b, "breed", r.Type)
	b = text(b, "field", r.Zone)
	b = msgp.AppendBool(msgp.AppendString(b, "loaners"), r.Spot)
	b = number(b, "shift", r.Epoch)
	b = number(b, "tick", r.Seq)
	b = number(b, "baton", r.FencingToken)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "rows"), uint32(len(r.Tasks)))
	for _, t := range r.Tasks {
		b = appendTask(b, &t)
	}
	return b
}

func appendTask(b []byte, t *model.TaskStatus) []byte {
	fields := uint32(3)
	if t.Phase == model.PhaseExited {
		fields = 5
	}
	b = msgp.AppendMapHeader(b, fields)
	b = text(b, "row", wire.TaskName(t.Task))
	b = number(b, "try", t.Attempt)
	b = text(b, "status", phaseNames[t.Phase])
	if t.Phase == model.PhaseExited {
		b = text(b, "cause", causeNames[t.Cause])
		b = msgp.AppendBool(msgp.AppendString(b, "saved"), t.Checkpointed)
	}
	return b
}

func text(b []byte, key, value string) []byte {
	return msgp.AppendString(msgp.AppendString(b, key), value)
}

func number(b []byte, key string, value uint64) []byte {
	return msgp.AppendUint64(msgp.AppendString(b, key), value)
}

func decimal(b []byte, key string, value float64) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, key), value)
}

// message is an answer to a report, or direct commands.
type message struct {
	token, session uint64
	orders         []model.Command
}

var errForm = errors.New("not of the published form")

// decodeMessage reads an answer to a report, or direct commands.
func decodeMessage(b []byte) (*message, error) {
	v, _, err := msgp.ReadIntfBytes(b)
	m, ok := v.(map[string]any)
	if err != nil || !ok {
		return nil, errForm
	}
	out := &message{token: fake.Number(m["baton"]), session: fake.Number(m["shift"])}
	orders, _ := m["orders"].([]any)
	for _, o := range orders {
		order, err := decodeOrder(o)
		if err != nil {
			return nil, err
		}
		out.orders = append(out.orders, order)
	}
	return out, nil
}

func decodeOrder(v any) (model.Command, error) {
	m, _ := v.(map[string]any)
	verb, _ := m["verb"].(string)
	row, _ := m["row"].(string)
	task, err := wire.ParseTaskName(row)
	if verbs[verb] == 0 || err != nil {
		return model.Command{}, errForm
	}
	grace, _ := m["windDownS"].(float64)
	return model.Command{
		Op:          verbs[verb],
		Task:        task,
		Attempt:     fake.Number(m["try"]),
		GracePeriod: time.Duration(grace * float64(time.Second)),
	}, nil
}

// decodeLeader reads whom a 421 names.
func decodeLeader(b []byte) string {
	v, _, err := msgp.ReadIntfBytes(b)
	m, _ := v.(map[string]any)
	if err != nil {
		return ""
	}
	name, _ := m["foreman"].(string)
	return name
}

// decodeState reads a job's state as a user is told of it.
func decodeState(b []byte) wire.JobState {
	v, _, err := msgp.ReadIntfBytes(b)
	m, _ := v.(map[string]any)
	if err != nil {
		return wire.StateUnknown
	}
	for s := wire.StateQueued; s <= wire.StateCancelled; s++ {
		if m["status"] == s.String() {
			return s
		}
	}
	return wire.StateUnknown
}

// appendCatalog writes the cloud's machine types.
func appendCatalog(b []byte, types []model.MachineType) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(b, 1), "breeds"), uint32(len(types)))
	for _, t := range types {
		b = msgp.AppendMapHeader(b, 10)
		b = text(b, "label", t.Name)
		b = decimal(b, "cores", t.Capacity.CPU)
		b = decimal(b, "cards", t.Capacity.GPU)
		b = decimal(b, "memoryGb", t.Capacity.MemGB)
		b = decimal(b, "localGb", t.CacheGB)
		b = decimal(b, "fetchGbPerS", t.FetchGBPerS)
		b = decimal(b, "price", t.PricePerHour)
		b = decimal(b, "lowPrice", t.SpotPricePerHour)
		b = decimal(b, "startupS", t.BootTime.Seconds())
		b = msgp.AppendArrayHeader(msgp.AppendString(b, "fields"), uint32(len(t.Zones)))
		for _, z := range t.Zones {
			b = msgp.AppendString(b, z)
		}
	}
	return b
}

// appendList writes a page of the machine list.
func appendList(b []byte, page []model.MachineInfo, more bool) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = msgp.AppendBool(msgp.AppendString(b, "more"), more)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "tillers"), uint32(len(page)))
	for _, l := range page {
		status := "running"
		switch {
		case l.Booting:
			status = "starting"
		case l.Failed:
			status = "failed"
		}
		b = msgp.AppendMapHeader(b, 7)
		b = text(b, "ref", l.Name)
		b = text(b, "addr", l.Addr)
		b = text(b, "breed", l.Type)
		b = text(b, "field", l.Zone)
		b = msgp.AppendBool(msgp.AppendString(b, "loaners"), l.Spot)
		b = text(b, "status", status)
		b = decimal(b, "heldS", l.Age.Seconds())
	}
	return b
}

// decodeRental reads a request for machines.
func decodeRental(b []byte) (model.Provisioning, error) {
	v, _, err := msgp.ReadIntfBytes(b)
	m, ok := v.(map[string]any)
	if err != nil || !ok {
		return model.Provisioning{}, errForm
	}
	r := model.Provisioning{Count: int(fake.Number(m["number"]))}
	r.Name, _ = m["hire"].(string)
	r.Type, _ = m["breed"].(string)
	r.Zone, _ = m["field"].(string)
	r.Spot, _ = m["loaners"].(bool)
	if r.Name == "" || r.Count < 1 || r.Count > 50 {
		return r, errForm
	}
	return r, nil
}
