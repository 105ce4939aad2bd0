package admin

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
)

// Amounts is the JSON form of ledger.Usage.
type Amounts struct {
	CPU       uint64            `json:"cpu_us"`      // CPU-microseconds
	GPU       uint64            `json:"gpu_us"`      // GPU-microseconds
	Mem       uint64            `json:"gb_us"`       // GB-microseconds
	WastedCPU uint64            `json:"lost_cpu_us"` // part of CPU: attempts that neither completed nor saved a checkpoint
	Starts    uint64            `json:"starts"`      // attempts that began to run
	Adopted   uint64            `json:"taken_over"`  // attempts that a new leader found running after a failover
	Wait      map[string]uint64 `json:"wait_ms"`     // task-milliseconds of waiting by cause; zeros are omitted
}

// AmountsOf converts usage to its JSON form.
func AmountsOf(usage ledger.Usage) Amounts {
	amounts := Amounts{
		CPU:       usage.CPU,
		GPU:       usage.GPU,
		Mem:       usage.Mem,
		WastedCPU: usage.WastedCPU,
		Starts:    usage.Starts,
		Adopted:   usage.Adopted,
		Wait:      map[string]uint64{},
	}
	for cause, milliseconds := range usage.Wait {
		if milliseconds > 0 {
			amounts.Wait[ledger.WaitCause(cause).String()] = milliseconds
		}
	}
	return amounts
}

// Usage converts amounts to ledger.Usage. It omits causes of waiting that this version does not know.
func (a Amounts) Usage() ledger.Usage {
	usage := ledger.Usage{
		CPU:       a.CPU,
		GPU:       a.GPU,
		Mem:       a.Mem,
		WastedCPU: a.WastedCPU,
		Starts:    a.Starts,
		Adopted:   a.Adopted,
	}
	for cause := range usage.Wait {
		usage.Wait[cause] = a.Wait[ledger.WaitCause(cause).String()]
	}
	return usage
}

// Entry is a team's usage by one job class in an hour, a day or a month.
type Entry struct {
	Team  string    `json:"team"`
	Class string    `json:"class"`
	Start time.Time `json:"from"` // start of the hour, day or month, in UTC
	Unit  string    `json:"unit"` // "hour", "day" or "month"
	Amounts
}

// EntryPage is one page of ledger entries.
type EntryPage struct {
	Entries    []Entry `json:"rows"`
	NextCursor string  `json:"next,omitempty"` // cursor of the next page; "" on the last page
}

// UnaccountedInterval is an interval for which no leader recorded usage: from the last settlement of one leader to
// the takeover of the next leader that keeps a ledger.
type UnaccountedInterval struct {
	Start            time.Time `json:"from"`
	End              time.Time `json:"to"`
	FencingToken     uint64    `json:"token"`                  // of the leader that took over at End
	UnsettledLeaders uint64    `json:"leaders_without_ledger"` // leaders in between that settled no account
}

// IntervalPage is one page of unaccounted intervals.
type IntervalPage struct {
	Intervals  []UnaccountedInterval `json:"stretches"`
	NextCursor string                `json:"next,omitempty"` // cursor of the next page; "" on the last page
}

// FairShare is a team's fair-share standing.
type FairShare struct {
	Rank          int       `json:"place"` // by Factor, from 1; teams with equal factors share a rank
	Team          string    `json:"team"`
	Weight        float64   `json:"weight"`         // fraction of the sum of all weights
	DecayedUsage  uint64    `json:"decayed_cpu_us"` // weighted CPU-microseconds
	UsageFraction float64   `json:"part"`           // fraction of all decayed usage; 0 if that is too low to compare
	Factor        float64   `json:"factor"`         // 2^-(UsageFraction/Weight): 1 without usage, 1/2 at the fair share
	Band          int       `json:"band"`           // teams in a lower band go first with work beyond their guarantees
	SettledAt     time.Time `json:"settled_at"`     // time of the account's last settlement
}

// FairShares is the fair-share standing of all teams.
type FairShares struct {
	Enabled  bool        `json:"orders"`      // whether fair share orders the work beyond guarantees
	HalfLife float64     `json:"half_life_s"` // half-life of usage in seconds
	Teams    []FairShare `json:"teams"`       // sorted by rank
}

// Verification is the result of verifying one team's closed segments.
type Verification struct {
	Team            string `json:"team"`
	Segments        int    `json:"pages"`             // number of segments that were verified
	VerifiedThrough uint64 `json:"through"`           // number of the last hourly segment that was verified
	Problem         string `json:"problem,omitempty"` // first problem that was found; "" if there is none
	NextCursor      string `json:"next,omitempty"`    // cursor of the next team; "" for the last team
}
