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

// appendHeartbeat writes a worker's report.
func appendHeartbeat(b []byte, r *model.Heartbeat) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendStringField(b, "tiller", r.Machine)
	b = appendStringField(b, "addr", r.Addr)
	b = appendStringField(b, "breed", r.Type)
	b = appendStringField(b, "field", r.Zone)
	b = msgp.AppendBool(msgp.AppendString(b, "loaners"), r.Spot)
	b = appendUintField(b, "shift", r.Epoch)
	b = appendUintField(b, "tick", r.Seq)
	b = appendUintField(b, "baton", r.FencingToken)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "rows"), uint32(len(r.Tasks)))
	for _, t := range r.Tasks {
		b = appendTaskStatus(b, &t)
	}
	return b
}

func appendTaskStatus(b []byte, t *model.TaskStatus) []byte {
	fields := uint32(3)
	if t.Phase == model.PhaseExited {
		fields = 5
	}
	b = msgp.AppendMapHeader(b, fields)
	b = appendStringField(b, "row", wire.TaskName(t.Task))
	b = appendUintField(b, "try", t.Attempt)
	b = appendStringField(b, "status", phaseNames[t.Phase])
	if t.Phase == model.PhaseExited {
		b = appendStringField(b, "cause", causeNames[t.Cause])
		b = msgp.AppendBool(msgp.AppendString(b, "saved"), t.Checkpointed)
	}
	return b
}

func appendStringField(b []byte, key, value string) []byte {
	return msgp.AppendString(msgp.AppendString(b, key), value)
}

func appendUintField(b []byte, key string, value uint64) []byte {
	return msgp.AppendUint64(msgp.AppendString(b, key), value)
}

func appendFloatField(b []byte, key string, value float64) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, key), value)
}

// commandMessage is an answer to a report, or direct commands.
type commandMessage struct {
	token, epoch uint64
	commands     []model.Command
}

var errMalformed = errors.New("not of the published form")

// decodeMessage reads an answer to a report, or direct commands.
func decodeMessage(b []byte) (*commandMessage, error) {
	v, _, err := msgp.ReadIntfBytes(b)
	m, ok := v.(map[string]any)
	if err != nil || !ok {
		return nil, errMalformed
	}
	out := &commandMessage{token: fake.DecodeUint(m["baton"]), epoch: fake.DecodeUint(m["shift"])}
	orders, _ := m["orders"].([]any)
	for _, o := range orders {
		order, err := decodeCommand(o)
		if err != nil {
			return nil, err
		}
		out.commands = append(out.commands, order)
	}
	return out, nil
}

func decodeCommand(v any) (model.Command, error) {
	m, _ := v.(map[string]any)
	verb, _ := m["verb"].(string)
	row, _ := m["row"].(string)
	task, err := wire.ParseTaskName(row)
	if verbs[verb] == 0 || err != nil {
		return model.Command{}, errMalformed
	}
	grace, _ := m["windDownS"].(float64)
	return model.Command{
		Op:          verbs[verb],
		Task:        task,
		Attempt:     fake.DecodeUint(m["try"]),
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

// decodeJobState reads a job's state as a user is told of it.
func decodeJobState(b []byte) wire.JobState {
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
		b = appendStringField(b, "label", t.Name)
		b = appendFloatField(b, "cores", t.Capacity.CPU)
		b = appendFloatField(b, "cards", t.Capacity.GPU)
		b = appendFloatField(b, "memoryGb", t.Capacity.MemGB)
		b = appendFloatField(b, "localGb", t.CacheGB)
		b = appendFloatField(b, "fetchGbPerS", t.FetchGBPerS)
		b = appendFloatField(b, "price", t.PricePerHour)
		b = appendFloatField(b, "lowPrice", t.SpotPricePerHour)
		b = appendFloatField(b, "startupS", t.BootTime.Seconds())
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
		b = appendStringField(b, "ref", l.Name)
		b = appendStringField(b, "addr", l.Addr)
		b = appendStringField(b, "breed", l.Type)
		b = appendStringField(b, "field", l.Zone)
		b = msgp.AppendBool(msgp.AppendString(b, "loaners"), l.Spot)
		b = appendStringField(b, "status", status)
		b = appendFloatField(b, "heldS", l.Age.Seconds())
	}
	return b
}

// decodeProvisioning reads a request for machines.
func decodeProvisioning(b []byte) (model.Provisioning, error) {
	v, _, err := msgp.ReadIntfBytes(b)
	m, ok := v.(map[string]any)
	if err != nil || !ok {
		return model.Provisioning{}, errMalformed
	}
	r := model.Provisioning{Count: int(fake.DecodeUint(m["number"]))}
	r.Name, _ = m["hire"].(string)
	r.Type, _ = m["breed"].(string)
	r.Zone, _ = m["field"].(string)
	r.Spot, _ = m["loaners"].(bool)
	if r.Name == "" || r.Count < 1 || r.Count > 50 {
		return r, errMalformed
	}
	return r, nil
}
