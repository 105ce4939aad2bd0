package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// MaxBodyBytes is the published bound on request bodies.
const MaxBodyBytes = 64 << 10

// maxTasks is the published bound on the tasks of a job.
const maxTasks = 100_000

// maxAmount bounds amounts and durations of a submission, so that no sum of
// them overflows.
const maxAmount = 1e8

var shapes = map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}
var priorities = map[string]model.Priority{"critical": model.PriorityProduction, "urgent": model.PriorityHigh, "standard": model.PriorityNormal, "idle": model.PriorityLow}

func shapeName(s model.Shape) string {
	for k, v := range shapes {
		if v == s {
			return k
		}
	}
	return ""
}

func priorityName(r model.Priority) string {
	for k, v := range priorities {
		if v == r {
			return k
		}
	}
	return ""
}

// requiredJobFields lists the fields that a submission must carry. The fields that may
// be null (breeds, field, dueS) may also be omitted.
var requiredJobFields = [...]string{"ref", "jobclass", "owner", "shape", "rank", "rows", "cores", "cards", "memoryGb", "oneZone",
	"scatter", "loaners", "seed", "imageGb", "expectS", "markS", "storeS"}

// seconds turns a duration on the wire into one of Go's.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// DecodeJobID reads the job id of a submission and nothing else: a known job is
// answered before anything is validated.
func DecodeJobID(b []byte) (string, error) {
	var id string
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "ref" {
			return readString(b, &id)
		}
		return b, false, nil
	})
	if err == nil && !model.ValidJobID(id) {
		err = errors.New("ref is missing or not of the form")
	}
	return id, err
}

// DecodeJob reads and checks a submission.
func DecodeJob(b []byte) (*model.Spec, error) {
	s := &model.Spec{}
	seen := map[string]bool{}
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		seen[key] = true
		rest, handled, err := decodeJobField(s, key, b)
		return rest, handled, err
	})
	if err != nil {
		return nil, err
	}
	for _, k := range requiredJobFields {
		if !seen[k] {
			return nil, fmt.Errorf("%q is missing", k)
		}
	}
	switch {
	case !model.ValidJobID(s.ID):
		return nil, errors.New("ref is not of the form")
	case s.Demand.CPU <= 0 && s.Demand.GPU <= 0:
		return nil, errors.New("a task takes neither cores nor cards")
	case s.Class == "" || len(s.Class) > 100 || s.Team == "" || len(s.Team) > 100 || len(s.Image) > 200 || len(s.MachineTypes) > 64:
		return nil, errors.New("a text is empty or too long")
	}
	return s, nil
}

func decodeJobField(s *model.Spec, key string, b []byte) ([]byte, bool, error) {
	amount := func(to *float64) ([]byte, bool, error) {
		rest, ok, err := readFloat(b, to)
		if err == nil && (*to < 0 || *to > maxAmount) {
			err = errors.New("out of range")
		}
		return rest, ok, err
	}
	duration := func(to *time.Duration) ([]byte, bool, error) {
		var v float64
		rest, ok, err := amount(&v)
		*to = seconds(v)
		return rest, ok, err
	}
	switch key {
	case "ref":
		return readString(b, &s.ID)
	case "jobclass":
		return readString(b, &s.Class)
	case "owner":
		return readString(b, &s.Team)
	case "shape":
		var v string
		rest, ok, err := readString(b, &v)
		if s.Shape = shapes[v]; err == nil && s.Shape == 0 {
			err = errors.New("unknown")
		}
		return rest, ok, err
	case "rank":
		var v string
		rest, ok, err := readString(b, &v)
		if s.Priority = priorities[v]; err == nil && s.Priority == 0 {
			err = errors.New("unknown")
		}
		return rest, ok, err
	case "rows":
		var v uint64
		rest, ok, err := readUint(b, &v)
		if err == nil && (v < 1 || v > maxTasks) {
			err = errors.New("out of range")
		}
		s.Tasks = int(v)
		return rest, ok, err
	case "cores":
		return amount(&s.Demand.CPU)
	case "cards":
		return amount(&s.Demand.GPU)
	case "memoryGb":
		return amount(&s.Demand.MemGB)
	case "breeds":
		s.MachineTypes = nil
		rest, ok, err := readStrings(b, &s.MachineTypes)
		if err == nil && len(s.MachineTypes) == 0 {
			err = errors.New("empty")
		}
		return rest, ok, err
	case "field":
		rest, ok, err := readString(b, &s.Zone)
		if err == nil && s.Zone == "" {
			err = errors.New("empty") // guards against a zone without a name that is taken for any
		}
		return rest, ok, err
	case "oneZone":
		return readBool(b, &s.SingleZone)
	case "scatter":
		return readBool(b, &s.Spread)
	case "loaners":
		return readBool(b, &s.AllowSpot)
	case "seed":
		return readString(b, &s.Image)
	case "imageGb":
		return amount(&s.ImageGB)
	case "expectS":
		return duration(&s.EstimatedRunTime)
	case "markS":
		return duration(&s.CheckpointInterval)
	case "storeS":
		return duration(&s.CheckpointTime)
	case "dueS":
		return duration(&s.Deadline)
	case "awaits":
		return readDependencies(b, &s.Dependencies)
	case "rules":
		if msgp.NextType(b) != msgp.StrType {
			s.Rules = MalformedRules // malformed, which matters only where rules are on
			return b, false, nil
		}
		return readString(b, &s.Rules)
	}
	return b, false, nil
}

// MalformedRules stands for rules that are no text.
const MalformedRules = "\x00"

// readDependencies reads a list of job ids. A name that is repeated counts once.
func readDependencies(b []byte, to *[]string) ([]byte, bool, error) {
	var ids []string
	rest, _, err := readStrings(b, &ids)
	if err != nil {
		return rest, true, err
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range ids {
		if !model.ValidJobID(id) {
			return rest, true, errors.New("not the id of a job")
		}
	}
	*to = ids
	return rest, true, nil
}

// AppendJob writes a job in the form that users submit it in.
func AppendJob(b []byte, s *model.Spec) []byte {
	n := uint32(len(requiredJobFields))
	if len(s.MachineTypes) > 0 {
		n++
	}
	if s.Zone != "" {
		n++
	}
	if s.Deadline > 0 {
		n++
	}
	if s.Rules != "" {
		n++
	}
	b = msgp.AppendMapHeader(b, n)
	b = appendString(b, "ref", s.ID)
	b = appendString(b, "jobclass", s.Class)
	b = appendString(b, "owner", s.Team)
	b = appendString(b, "shape", shapeName(s.Shape))
	b = appendString(b, "rank", priorityName(s.Priority))
	b = appendUint(b, "rows", uint64(s.Tasks))
	b = appendFloat(b, "cores", s.Demand.CPU)
	b = appendFloat(b, "cards", s.Demand.GPU)
	b = appendFloat(b, "memoryGb", s.Demand.MemGB)
	b = appendBool(b, "oneZone", s.SingleZone)
	b = appendBool(b, "scatter", s.Spread)
	b = appendBool(b, "loaners", s.AllowSpot)
	b = appendString(b, "seed", s.Image)
	b = appendFloat(b, "imageGb", s.ImageGB)
	b = appendFloat(b, "expectS", s.EstimatedRunTime.Seconds())
	b = appendFloat(b, "markS", s.CheckpointInterval.Seconds())
	b = appendFloat(b, "storeS", s.CheckpointTime.Seconds())
	if len(s.MachineTypes) > 0 {
		b = appendStrings(b, "breeds", s.MachineTypes)
	}
	if s.Zone != "" {
		b = appendString(b, "field", s.Zone)
	}
	if s.Deadline > 0 {
		b = appendFloat(b, "dueS", s.Deadline.Seconds())
	}
	if s.Rules != "" {
		b = appendString(b, "rules", s.Rules)
	}
	return b
}

// JobState is the state of a job as users see it.
type JobState uint8

// The states of a job that users see.
const (
	StateUnknown JobState = iota
	StateQueued
	StateRunning
	StateDone
	StateCancelled
)

func (s JobState) wireName() string {
	return [...]string{"", "queued", "running", "done", "withdrawn"}[s]
}

func (s JobState) String() string { return s.wireName() }

// Ended tells whether the state is final.
func (s JobState) Ended() bool { return s == StateDone || s == StateCancelled }

// Outcome is the end that a state stands for.
func (s JobState) Outcome() model.Outcome {
	switch s {
	case StateDone:
		return model.OutcomeDone
	case StateCancelled:
		return model.OutcomeCancelled
	}
	return model.OutcomeUnknown
}

// AppendJobStatus writes the answer to a poll.
func AppendJobStatus(b []byte, id string, s JobState, done, running int) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendString(b, "ref", id)
	b = appendString(b, "status", s.wireName())
	b = appendUint(b, "done", uint64(max(done, 0)))
	return appendUint(b, "running", uint64(max(running, 0)))
}

// AppendJobState writes the answer to a submission or a cancellation.
func AppendJobState(b []byte, id string, s JobState) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendString(b, "ref", id)
	return appendString(b, "status", s.wireName())
}

// AppendError writes a body that tells what was wrong.
func AppendError(b []byte, why string) []byte {
	return appendString(msgp.AppendMapHeader(b, 1), "error", why)
}

// AppendLeader writes the body of a 421; an unknown leader is left out.
func AppendLeader(b []byte, leader string) []byte {
	if leader == "" {
		return msgp.AppendMapHeader(b, 0)
	}
	return appendString(msgp.AppendMapHeader(b, 1), "foreman", leader)
}
