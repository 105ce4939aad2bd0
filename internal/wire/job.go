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

// MaxBody is the published bound on request bodies.
const MaxBody = 64 << 10

// maxTasks is the published bound on the tasks of a job.
const maxTasks = 100_000

// maxAmount bounds amounts and durations of a submission, so that no sum of
// them overflows.
const maxAmount = 1e8

var shapes = map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}
var ranks = map[string]model.Rank{"critical": model.Production, "urgent": model.High, "standard": model.Normal, "idle": model.Low}

func wireShape(s model.Shape) string {
	for k, v := range shapes {
		if v == s {
			return k
		}
	}
	return ""
}

func wireRank(r model.Rank) string {
	for k, v := range ranks {
		if v == r {
			return k
		}
	}
	return ""
}

// required lists the fields that a submission must carry. The fields that may
// be null (breeds, field, dueS) may also be omitted.
var required = [...]string{"ref", "jobclass", "owner", "shape", "rank", "rows", "cores", "cards", "memoryGb", "oneZone",
	"scatter", "loaners", "seed", "imageGb", "expectS", "markS", "storeS"}

// seconds turns a duration on the wire into one of Go's.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// PeekRef reads the job id of a submission and nothing else: a known job is
// answered before anything is validated.
func PeekRef(b []byte) (string, error) {
	var id string
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "ref" {
			return readStr(b, &id)
		}
		return b, false, nil
	})
	if err == nil && !model.JobIDValid(id) {
		err = errors.New("ref is missing or not of the form")
	}
	return id, err
}

// DecodeJob reads and checks a submission.
func DecodeJob(b []byte) (*model.Spec, error) {
	s := &model.Spec{}
	seen := map[string]bool{}
	err := whole(b, func(key string, b []byte) ([]byte, bool, error) {
		seen[key] = true
		rest, handled, err := jobField(s, key, b)
		return rest, handled, err
	})
	if err != nil {
		return nil, err
	}
	for _, k := range required {
		if !seen[k] {
			return nil, fmt.Errorf("%q is missing", k)
		}
	}
	switch {
	case !model.JobIDValid(s.ID):
		return nil, errors.New("ref is not of the form")
	case s.Need.CPU <= 0 && s.Need.GPU <= 0:
		return nil, errors.New("a task takes neither cores nor cards")
	case s.Class == "" || len(s.Class) > 100 || s.Team == "" || len(s.Team) > 100 || len(s.Image) > 200 || len(s.Types) > 64:
		return nil, errors.New("a text is empty or too long")
	}
	return s, nil
}

func jobField(s *model.Spec, key string, b []byte) ([]byte, bool, error) {
	amount := func(to *float64) ([]byte, bool, error) {
		rest, ok, err := readNum(b, to)
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
		return readStr(b, &s.ID)
	case "jobclass":
		return readStr(b, &s.Class)
	case "owner":
		return readStr(b, &s.Team)
	case "shape":
		var v string
		rest, ok, err := readStr(b, &v)
		if s.Shape = shapes[v]; err == nil && s.Shape == 0 {
			err = errors.New("unknown")
		}
		return rest, ok, err
	case "rank":
		var v string
		rest, ok, err := readStr(b, &v)
		if s.Rank = ranks[v]; err == nil && s.Rank == 0 {
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
		return amount(&s.Need.CPU)
	case "cards":
		return amount(&s.Need.GPU)
	case "memoryGb":
		return amount(&s.Need.MemGB)
	case "breeds":
		s.Types = nil
		rest, ok, err := readStrs(b, &s.Types)
		if err == nil && len(s.Types) == 0 {
			err = errors.New("empty")
		}
		return rest, ok, err
	case "field":
		rest, ok, err := readStr(b, &s.Zone)
		if err == nil && s.Zone == "" {
			err = errors.New("empty") // guards against a zone without a name that is taken for any
		}
		return rest, ok, err
	case "oneZone":
		return readBool(b, &s.OneZone)
	case "scatter":
		return readBool(b, &s.Spread)
	case "loaners":
		return readBool(b, &s.Spot)
	case "seed":
		return readStr(b, &s.Image)
	case "imageGb":
		return amount(&s.ImageGB)
	case "expectS":
		return duration(&s.Estimate)
	case "markS":
		return duration(&s.Checkpoint)
	case "storeS":
		return duration(&s.Save)
	case "dueS":
		return duration(&s.Deadline)
	case "awaits":
		return readAwaits(b, &s.Awaits)
	case "rules":
		if msgp.NextType(b) != msgp.StrType {
			s.Rules = NoRules // malformed, which matters only where rules are on
			return b, false, nil
		}
		return readStr(b, &s.Rules)
	}
	return b, false, nil
}

// NoRules stands for rules that are no text.
const NoRules = "\x00"

// readAwaits reads a list of job ids. A name that is repeated counts once.
func readAwaits(b []byte, to *[]string) ([]byte, bool, error) {
	var ids []string
	rest, _, err := readStrs(b, &ids)
	if err != nil {
		return rest, true, err
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range ids {
		if !model.JobIDValid(id) {
			return rest, true, errors.New("not the id of a job")
		}
	}
	*to = ids
	return rest, true, nil
}

// AppendJob writes a job in the form that users submit it in.
func AppendJob(b []byte, s *model.Spec) []byte {
	n := uint32(len(required))
	if len(s.Types) > 0 {
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
	b = appendStr(b, "ref", s.ID)
	b = appendStr(b, "jobclass", s.Class)
	b = appendStr(b, "owner", s.Team)
	b = appendStr(b, "shape", wireShape(s.Shape))
	b = appendStr(b, "rank", wireRank(s.Rank))
	b = appendUint(b, "rows", uint64(s.Tasks))
	b = appendNum(b, "cores", s.Need.CPU)
	b = appendNum(b, "cards", s.Need.GPU)
	b = appendNum(b, "memoryGb", s.Need.MemGB)
	b = appendBool(b, "oneZone", s.OneZone)
	b = appendBool(b, "scatter", s.Spread)
	b = appendBool(b, "loaners", s.Spot)
	b = appendStr(b, "seed", s.Image)
	b = appendNum(b, "imageGb", s.ImageGB)
	b = appendNum(b, "expectS", s.Estimate.Seconds())
	b = appendNum(b, "markS", s.Checkpoint.Seconds())
	b = appendNum(b, "storeS", s.Save.Seconds())
	if len(s.Types) > 0 {
		b = appendStrs(b, "breeds", s.Types)
	}
	if s.Zone != "" {
		b = appendStr(b, "field", s.Zone)
	}
	if s.Deadline > 0 {
		b = appendNum(b, "dueS", s.Deadline.Seconds())
	}
	if s.Rules != "" {
		b = appendStr(b, "rules", s.Rules)
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

func (s JobState) wire() string {
	return [...]string{"", "queued", "running", "done", "withdrawn"}[s]
}

func (s JobState) String() string { return s.wire() }

// Ended tells whether the state is final.
func (s JobState) Ended() bool { return s == StateDone || s == StateCancelled }

// End is the end that a state stands for.
func (s JobState) End() model.End {
	switch s {
	case StateDone:
		return model.EndDone
	case StateCancelled:
		return model.EndCancelled
	}
	return model.EndUnknown
}

// AppendStatus writes the answer to a poll.
func AppendStatus(b []byte, id string, s JobState, done, running int) []byte {
	b = msgp.AppendMapHeader(b, 4)
	b = appendStr(b, "ref", id)
	b = appendStr(b, "status", s.wire())
	b = appendUint(b, "done", uint64(max(done, 0)))
	return appendUint(b, "running", uint64(max(running, 0)))
}

// AppendShortStatus writes the answer to a submission or a cancellation.
func AppendShortStatus(b []byte, id string, s JobState) []byte {
	b = msgp.AppendMapHeader(b, 2)
	b = appendStr(b, "ref", id)
	return appendStr(b, "status", s.wire())
}

// AppendError writes a body that tells what was wrong.
func AppendError(b []byte, why string) []byte {
	return appendStr(msgp.AppendMapHeader(b, 1), "error", why)
}

// AppendLeader writes the body of a 421; an unknown leader is left out.
func AppendLeader(b []byte, leader string) []byte {
	if leader == "" {
		return msgp.AppendMapHeader(b, 0)
	}
	return appendStr(msgp.AppendMapHeader(b, 1), "foreman", leader)
}
