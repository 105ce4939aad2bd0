package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// This file holds the far ends of the protocols of workers, cloud and users: what they send to a controller, and what
// they read of its messages. Stand-ins use them; a controller does not.

// maxProvisioned is how many machines one request may ask for.
const maxProvisioned = 50

// commandOps maps the published names to operations.
var commandOps = map[string]model.Op{
	commandLaunch: model.OpLaunch,
	commandStop:   model.OpStop,
	commandForget: model.OpForget,
}

// AppendHeartbeat appends a worker's heartbeat, without an interruption notice.
func AppendHeartbeat(b []byte, h *model.Heartbeat) []byte {
	b = msgp.AppendMapHeader(b, 9)
	b = appendString(b, workerName, h.Machine)
	b = appendString(b, workerAddr, h.Addr)
	b = appendString(b, workerMachineType, h.Type)
	b = appendString(b, workerZone, h.Zone)
	b = appendBool(b, workerSpot, h.Spot)
	b = appendUint(b, workerEpoch, h.Epoch)
	b = appendUint(b, workerSeq, h.Seq)
	b = appendUint(b, workerFencingToken, h.FencingToken)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, workerTasks), uint32(len(h.Tasks)))
	for i := range h.Tasks {
		b = appendTaskStatus(b, &h.Tasks[i])
	}
	return b
}

func appendTaskStatus(b []byte, t *model.TaskStatus) []byte {
	fields := uint32(3)
	if t.Phase == model.PhaseExited {
		fields = 5
	}
	b = msgp.AppendMapHeader(b, fields)
	b = appendString(b, workerTask, TaskName(t.Task))
	b = appendUint(b, workerAttempt, t.Attempt)
	b = appendString(b, workerPhase, nameOf(phases, t.Phase))
	if t.Phase == model.PhaseExited {
		b = appendString(b, workerExitCause, nameOf(exitCauses, t.Cause))
		b = appendBool(b, workerCheckpointed, t.Checkpointed)
	}
	return b
}

// CommandMessage is the answer to a heartbeat, which has no epoch, or direct commands.
type CommandMessage struct {
	FencingToken uint64
	Epoch        uint64
	Commands     []model.Command
}

// DecodeCommands reads the answer to a heartbeat, or direct commands.
func DecodeCommands(b []byte) (CommandMessage, error) {
	var m CommandMessage
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case workerFencingToken:
			return readUint(b, &m.FencingToken)
		case workerEpoch:
			return readUint(b, &m.Epoch)
		case workerCommands:
			return readCommands(b, &m.Commands)
		}
		return b, false, nil
	})
	return m, err
}

func readCommands(b []byte, dst *[]model.Command) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		command, rest, err := decodeCommand(b)
		*dst = append(*dst, command)
		return rest, err
	})
	return rest, true, err
}

func decodeCommand(b []byte) (model.Command, []byte, error) {
	var c model.Command
	var task string
	var graceSeconds float64
	rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case workerCommandOp:
			return readName(b, commandOps, &c.Op)
		case workerTask:
			return readString(b, &task)
		case workerAttempt:
			return readUint(b, &c.Attempt)
		case workerStopGracePeriod:
			return readFloat(b, &graceSeconds)
		}
		return b, false, nil
	})
	if err != nil {
		return c, rest, err
	}
	if c.Op == 0 {
		return c, rest, errors.New("a command without an operation")
	}
	c.Task, err = ParseTaskName(task)
	c.GracePeriod = seconds(graceSeconds)
	return c, rest, err
}

// DecodeLeader reads the leader that a 421 names; "": it names none, or is malformed.
func DecodeLeader(b []byte) string {
	leader, err := decodeField(b, answerLeader, readString)
	if err != nil {
		return ""
	}
	return leader
}

// DecodeJobState reads a job's state as a user is answered it; StateUnknown: the answer has none, or is malformed.
func DecodeJobState(b []byte) JobState {
	name, err := decodeField(b, answerStatus, readString)
	if err != nil {
		return StateUnknown
	}
	for s := StateQueued; s <= StateCancelled; s++ {
		if name == s.String() {
			return s
		}
	}
	return StateUnknown
}

// AppendCatalog appends the cloud's machine types.
func AppendCatalog(b []byte, types []model.MachineType) []byte {
	b = msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(b, 1), cloudCatalog), uint32(len(types)))
	for i := range types {
		t := &types[i]
		b = msgp.AppendMapHeader(b, 10)
		b = appendString(b, cloudTypeName, t.Name)
		b = appendFloat(b, cloudTypeCPU, t.Capacity.CPU)
		b = appendFloat(b, cloudTypeGPU, t.Capacity.GPU)
		b = appendFloat(b, cloudTypeMemory, t.Capacity.MemGB)
		b = appendFloat(b, cloudTypeCache, t.CacheGB)
		b = appendFloat(b, cloudTypeFetchRate, t.FetchGBPerS)
		b = appendFloat(b, cloudTypePrice, t.PricePerHour)
		b = appendFloat(b, cloudTypeSpotPrice, t.SpotPricePerHour)
		b = appendFloat(b, cloudTypeBootTime, t.BootTime.Seconds())
		b = appendStrings(b, cloudTypeZones, t.Zones)
	}
	return b
}

// AppendMachineList appends a page of the list of machines.
func AppendMachineList(b []byte, page []model.MachineInfo, more bool) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendBool(b, cloudMore, more)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, cloudMachines), uint32(len(page)))
	for i := range page {
		m := &page[i]
		b = msgp.AppendMapHeader(b, 7)
		b = appendString(b, cloudMachineName, m.Name)
		b = appendString(b, cloudMachineAddr, m.Addr)
		b = appendString(b, cloudMachineType, m.Type)
		b = appendString(b, cloudZone, m.Zone)
		b = appendBool(b, cloudSpot, m.Spot)
		b = appendString(b, cloudMachineStatus, machineStatus(m))
		b = appendFloat(b, cloudMachineAge, m.Age.Seconds())
	}
	return b
}

// machineStatus is the published status of a machine.
func machineStatus(m *model.MachineInfo) string {
	switch {
	case m.Booting:
		return cloudStatusBooting
	case m.Failed:
		return cloudStatusFailed
	}
	return cloudStatusRunning
}

// DecodeProvisioning reads a request for machines.
func DecodeProvisioning(b []byte) (model.Provisioning, error) {
	var p model.Provisioning
	var count uint64
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case cloudProvisioningName:
			return readString(b, &p.Name)
		case cloudMachineType:
			return readString(b, &p.Type)
		case cloudZone:
			return readString(b, &p.Zone)
		case cloudSpot:
			return readBool(b, &p.Spot)
		case cloudCount:
			return readUint(b, &count)
		}
		return b, false, nil
	})
	if err == nil && (p.Name == "" || count < 1 || count > maxProvisioned) {
		err = errors.New("a request without a name, or for a wrong number of machines")
	}
	p.Count = int(min(count, maxProvisioned+1))
	return p, err
}
