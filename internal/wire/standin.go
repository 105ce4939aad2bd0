package wire

import (
	"errors"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// This file implements the other side of the protocols between controllers and workers, the cloud and users: it encodes
// what they send and decodes what they receive. Only simulators and tests use it; a controller does not.

// maxMachinesPerRequest bounds the number of machines that one request may provision.
const maxMachinesPerRequest = 50

// commandOps maps the published names of command operations to their values.
var commandOps = map[string]model.CommandOp{
	commandLaunch: model.OpLaunch,
	commandStop:   model.OpStop,
	commandForget: model.OpForget,
}

// AppendHeartbeat appends a worker's heartbeat. It omits the interruption notice, if there is one.
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

// CommandMessage is a message with commands to a worker: the response to a heartbeat or a request with direct commands.
type CommandMessage struct {
	FencingToken uint64 // of the leader that sends the commands
	Epoch        uint64 // epoch of the worker that direct commands are meant for; 0 in a response to a heartbeat
	Commands     []model.Command
}

// DecodeCommands decodes the response to a heartbeat or a request with direct commands.
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
			return readEnum(b, commandOps, &c.Op)
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
		return c, rest, errors.New("command has no operation")
	}
	c.Task, err = ParseTaskName(task)
	c.GracePeriod = secondsToDuration(graceSeconds)
	return c, rest, err
}

// DecodeLeader returns the leader that a response with status 421 (Misdirected Request) names. It returns "" if the
// response names none or is malformed.
func DecodeLeader(b []byte) string {
	leader, err := decodeSingleField(b, responseLeader, readString)
	if err != nil {
		return ""
	}
	return leader
}

// DecodeJobState returns the state of a job from a response to a user. It returns StateUnknown if the response contains
// no state or is malformed.
func DecodeJobState(b []byte) JobState {
	name, err := decodeSingleField(b, responseStatus, readString)
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

// AppendCatalog appends the cloud's catalog of machine types.
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

// AppendMachineList appends one page of the cloud's list of provisioned machines. more says whether others follow.
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

// machineStatus returns the published status of a machine.
func machineStatus(m *model.MachineInfo) string {
	switch {
	case m.Booting:
		return cloudStatusBooting
	case m.Failed:
		return cloudStatusFailed
	}
	return cloudStatusRunning
}

// DecodeProvisioning decodes a request to provision machines. The request must have a name and be for 1 to
// maxMachinesPerRequest machines.
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
	if err == nil && (p.Name == "" || count < 1 || count > maxMachinesPerRequest) {
		err = errors.New("provisioning request has no name or an invalid number of machines")
	}
	p.Count = int(min(count, maxMachinesPerRequest+1))
	return p, err
}
