package wire

import (
	"errors"
	"math"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
)

// AppendMachine appends the record of a machine that may run tasks.
func AppendMachine(b []byte, m model.MachineInfo) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, recordMachineAddr, m.Addr)
	b = appendString(b, recordMachineType, m.Type)
	b = appendString(b, recordMachineZone, m.Zone)
	return appendBool(b, recordMachineSpot, m.Spot)
}

// DecodeMachine reads the record of a machine. The name is in its key.
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

// AppendGPUDemand appends the record of a GPU demand that was seen.
func AppendGPUDemand(b []byte, r model.Resources) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendFloat(b, recordDemandCPU, r.CPU)
	b = appendFloat(b, recordDemandGPU, r.GPU)
	return appendFloat(b, recordDemandMem, r.MemGB)
}

// DecodeGPUDemand reads the record of a GPU demand.
func DecodeGPUDemand(b []byte) (r model.Resources, err error) {
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case recordDemandCPU:
			return readFloat(b, &r.CPU)
		case recordDemandGPU:
			return readFloat(b, &r.GPU)
		case recordDemandMem:
			return readFloat(b, &r.MemGB)
		}
		return b, false, nil
	})
	return r, err
}

// AppendLeaderRecord appends the record of the last fencing token, or of the leader:
// both have the same form.
func AppendLeaderRecord(b []byte, fencingToken uint64, member string) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, recordFencingToken, fencingToken)
	return appendString(b, recordMember, member)
}

// DecodeLeaderRecord reads the record of the last fencing token, or of the leader.
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
		err = errors.New("not a token's record")
	}
	return fencingToken, member, err
}

// AppendFeatureLevel appends the record of the feature level in force. It must never
// have both fields of a leader's record: programs before feature levels take it for
// one, fail, and so never become leader (docs/safety.md, "Levels").
func AppendFeatureLevel(b []byte, level uint32, raisedBy string) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendUint(b, recordFeatureLevel, uint64(level))
	return appendString(b, recordRaisedBy, raisedBy)
}

// DecodeFeatureLevel reads the record of the feature level in force.
func DecodeFeatureLevel(b []byte) (uint32, error) {
	level, err := decodeField(b, recordFeatureLevel, readUint)
	if err == nil && (level == 0 || level > math.MaxUint32) {
		err = errors.New("not a level's record")
	}
	return uint32(level), err
}

// AppendMember appends what a member announces of itself.
func AppendMember(b []byte, m featuregate.Member) []byte {
	b = msgp.AppendMapHeader(b, 3)
	b = appendString(b, recordMemberRelease, m.Release)
	b = appendUint(b, recordMemberSupported, uint64(m.Supported))
	return appendUint(b, recordMemberIncarnation, m.Incarnation)
}

// DecodeMember reads what a member announces of itself. The name is in its key.
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
		err = errors.New("not a member's record")
	}
	m.Supported = featuregate.Level(supported)
	return m, err
}
