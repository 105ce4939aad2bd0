package wire

import (
	"errors"
	"math"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
)

// AppendMachine appends the record of a machine that may run tasks. The record does not contain the machine's name,
// which is in its key.
func AppendMachine(b []byte, m model.MachineInfo) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, recordMachineAddr, m.Addr)
	b = appendString(b, recordMachineType, m.Type)
	b = appendString(b, recordMachineZone, m.Zone)
	return appendBool(b, recordMachineSpot, m.Spot)
}

// DecodeMachine decodes the record of a machine. The machine's name is not in the record, so the caller passes it.
func DecodeMachine(machine string, b []byte) (model.MachineInfo, error) {
	m := model.MachineInfo{Name: machine}
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordMachineAddr:
			return readString(b, &m.Addr)
		case recordMachineType:
			return readString(b, &m.Type)
		case recordMachineZone:
			return readString(b, &m.Zone)
		case recordMachineSpot:
			return readBool(b, &m.Spot)
		}
		return b, false, nil
	})
	return m, err
}

// AppendGPUDemand appends the record of the resources, including GPUs, that a task of some job has requested. New
// leaders read these records to learn which machine types to reserve for GPU tasks.
func AppendGPUDemand(b []byte, demand model.Resources) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendFloat(b, recordDemandCPU, demand.CPU)
	b = appendFloat(b, recordDemandGPU, demand.GPU)
	return appendFloat(b, recordDemandMemory, demand.MemGB)
}

// DecodeGPUDemand decodes the record of a resource request that includes GPUs.
func DecodeGPUDemand(b []byte) (demand model.Resources, err error) {
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordDemandCPU:
			return readFloat(b, &demand.CPU)
		case recordDemandGPU:
			return readFloat(b, &demand.GPU)
		case recordDemandMemory:
			return readFloat(b, &demand.MemGB)
		}
		return b, false, nil
	})
	return demand, err
}

// AppendLeaderRecord appends the record of the last fencing token or that of the current leader, which have the same
// form. member is the leader to which the fencing token belongs.
func AppendLeaderRecord(b []byte, fencingToken uint64, member string) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, recordFencingToken, fencingToken)
	return appendString(b, recordMember, member)
}

// DecodeLeaderRecord decodes the record of the last fencing token or that of the current leader.
func DecodeLeaderRecord(b []byte) (fencingToken uint64, member string, err error) {
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordFencingToken:
			return readUint(b, &fencingToken)
		case recordMember:
			return readString(b, &member)
		}
		return b, false, nil
	})
	if err == nil && (fencingToken == 0 || member == "") {
		err = errors.New("record has no fencing token or no member")
	}
	return fencingToken, member, err
}

// AppendFeatureLevel appends the record of the feature level in force. The record must never have both fields of a
// leader record. Programs from before feature levels decode it as a leader record, fail, and therefore cannot become
// leader (docs/safety.md, "Levels").
func AppendFeatureLevel(b []byte, level uint32, raisedBy string) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, recordFeatureLevel, uint64(level))
	return appendString(b, recordRaisedBy, raisedBy)
}

// DecodeFeatureLevel decodes the record of the feature level in force. A level of 0 is an error.
func DecodeFeatureLevel(b []byte) (uint32, error) {
	level, err := decodeSingleField(b, recordFeatureLevel, readUint)
	if err == nil && (level == 0 || level > math.MaxUint32) {
		err = errors.New("record has no feature level, or one out of range")
	}
	return uint32(level), err
}

// AppendMember appends the record in which a member announces itself. The record does not contain the member's name,
// which is in its key.
func AppendMember(b []byte, m featuregate.Member) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendString(b, recordMemberRelease, m.Release)
	b = appendUint(b, recordMemberSupported, uint64(m.Supported))
	return appendUint(b, recordMemberIncarnation, m.Incarnation)
}

// DecodeMember decodes the record in which a member announces itself. The member's name is not in the record, so the
// caller passes it.
func DecodeMember(member string, b []byte) (featuregate.Member, error) {
	m := featuregate.Member{Name: member}
	var supported uint64
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordMemberRelease:
			return readString(b, &m.Release)
		case recordMemberSupported:
			return readUint(b, &supported)
		case recordMemberIncarnation:
			return readUint(b, &m.Incarnation)
		}
		return b, false, nil
	})
	if err == nil && supported > math.MaxUint32 {
		err = errors.New("supported feature level out of range")
	}
	m.Supported = featuregate.Level(supported)
	return m, err
}
