package admin

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
)

// Amounts are what was used and waited for.
type Amounts struct {
	CPU       uint64            `json:"cpu_us"`      // CPU-microseconds
	GPU       uint64            `json:"gpu_us"`      // GPU-microseconds
	Mem       uint64            `json:"gb_us"`       // GB-microseconds
	Lost      uint64            `json:"lost_cpu_us"` // of CPU: by attempts that neither completed nor saved
	Starts    uint64            `json:"starts"`
	TakenOver uint64            `json:"taken_over"` // attempts that a new leader found running
	Wait      map[string]uint64 `json:"wait_ms"`    // task-milliseconds by cause
}

// AmountsOf converts usage to amounts.
func AmountsOf(usage ledger.Usage) Amounts {
	amounts := Amounts{
		CPU:       usage.CPU,
		GPU:       usage.GPU,
		Mem:       usage.Mem,
		Lost:      usage.Lost,
		Starts:    usage.Starts,
		TakenOver: usage.TakenOver,
		Wait:      map[string]uint64{},
	}
	for cause, millis := range usage.Wait {
		if millis > 0 {
			amounts.Wait[ledger.WaitCause(cause).String()] = millis
		}
	}
	return amounts
}

// Usage converts amounts to usage. Causes that this version does not know are left out.
func (a Amounts) Usage() ledger.Usage {
	usage := ledger.Usage{
		CPU:       a.CPU,
		GPU:       a.GPU,
		Mem:       a.Mem,
		Lost:      a.Lost,
		Starts:    a.Starts,
		TakenOver: a.TakenOver,
	}
	for cause := range usage.Wait {
		usage.Wait[cause] = a.Wait[ledger.WaitCause(cause).String()]
	}
	return usage
}

// Entry is what a team used for one class of jobs in an hour, day or month.
type Entry struct {
	Team  string    `json:"team"`
	Class string    `json:"class"`
	Start time.Time `json:"from"` // of the hour, day or month
	Unit  string    `json:"unit"` // "hour", "day" or "month"
	Amounts
}

// Entries is one page of the ledger's entries.
type Entries struct {
	Entries    []Entry `json:"rows"`
	NextCursor string  `json:"next,omitempty"` // of the next page; "": this is the last one
}

// Interval is a time that no leader accounted for.
type Interval struct {
	Start            time.Time `json:"from"`
	End              time.Time `json:"to"`
	FencingToken     uint64    `json:"token"` // of the leader that took over behind it
	UnsettledLeaders uint64    `json:"leaders_without_ledger"`
}

// Intervals is one page of intervals.
type Intervals struct {
	Intervals  []Interval `json:"stretches"`
	NextCursor string     `json:"next,omitempty"` // of the next page; "": this is the last one
}

// FairShare is a team's position by fair share.
type FairShare struct {
	Rank          int       `json:"place"` // from 1
	Team          string    `json:"team"`
	Weight        float64   `json:"weight"`         // fraction of all weights
	DecayedUsage  uint64    `json:"decayed_cpu_us"` // weighted CPU-microseconds
	UsageFraction float64   `json:"part"`           // of all decayed usage
	Factor        float64   `json:"factor"`
	Band          int       `json:"band"` // teams of a lower one go first beyond their guarantees
	SettledAt     time.Time `json:"settled_at"`
}

// FairShares are the positions of all teams.
type FairShares struct {
	Enabled  bool        `json:"orders"` // fair share decides on what goes beyond guarantees
	HalfLife float64     `json:"half_life_s"`
	Teams    []FairShare `json:"teams"`
}

// Verification is the result of checking one team's segments.
type Verification struct {
	Team            string `json:"team"`
	Segments        int    `json:"pages"`
	VerifiedThrough uint64 `json:"through"` // the last number that is verified
	Problem         string `json:"problem,omitempty"`
	NextCursor      string `json:"next,omitempty"` // of the next team; "": this is the last one
}
