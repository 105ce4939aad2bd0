package ledgersim

import (
	"context"
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	unlimitedRate    = 1e9  // requests a second
	segmentsAtOnce   = 50   // in one read
	maxIntervalsRead = 1000 // that are not accounted
)

// compare reads the ledger as any controller does, and compares it with the account.
func (s *simulation) compare(elapsed time.Duration) {
	result, ctx := s.result, context.Background()
	client := store.NewOver(s.world.State, s.world.State, time.Second)
	client.SetRateLimits(unlimitedRate, unlimitedRate)
	result.Failovers, result.Settlements = len(s.audit.leaders)-1, s.audit.settlementCount
	possible := s.platform.Deployment.State.WriteRPS * elapsed.Seconds()
	result.WriteShare = float64(s.audit.ledgerOps) / possible
	accounts, err := client.Accounts(ctx)
	if err != nil {
		s.unreadable(err)
		return
	}
	seal := ledger.NewSeal(nil)
	seen := map[string]bool{}
	for i := range accounts {
		open := &accounts[i].Open
		seen[open.Team] = true
		usage, err := s.readTeam(ctx, client, seal, open)
		if err != nil {
			s.unreadable(err)
			return
		}
		s.compareTeam(open.Team, usage)
	}
	for _, team := range teams {
		if !seen[team.Name] && s.audit.settledByTeam[team.Name] != (Amount{}) {
			s.compareTeam(team.Name, ledger.Usage{})
		}
	}
	intervals, _, err := client.Intervals(ctx, 0, maxIntervalsRead)
	if err != nil {
		s.unreadable(err)
	}
	result.UnaccountedIntervals = len(intervals)
	if len(s.world.Violations) > 0 {
		result.Violation = s.world.Violations[0]
	}
	if len(s.world.RejectedKeys) > 0 {
		result.Violation = "the state service rejected " + s.world.RejectedKeys[0]
	}
}

// unreadable notes that the ledger cannot be read.
func (s *simulation) unreadable(err error) {
	s.result.Violation = "the ledger cannot be read: " + err.Error()
}

// readTeam sums up a team's usage by all of its segments, and verifies their chain.
func (s *simulation) readTeam(
	ctx context.Context,
	client *store.Client,
	seal *ledger.Seal,
	open *ledger.OpenSegment,
) (ledger.Usage, error) {
	usage := ledger.Total(open.Usage)
	var last uint64
	var link string
	for after, more := uint64(0), true; more; {
		var segments []ledger.StoredSegment
		var err error
		if segments, more, err = client.Segments(ctx, open.Team, after, segmentsAtOnce); err != nil {
			return usage, err
		}
		for i := range segments {
			segment := &segments[i]
			usage.Add(ledger.Total(segment.Usage))
			after = segment.First
			s.result.Segments++
			s.result.SegmentsFolded += int(segment.Last - segment.First)
			if last, link, err = seal.Verify([]ledger.Segment{segment.Segment}, last, link); err != nil {
				s.brokenChain(open.Team, err)
			}
		}
	}
	if err := open.VerifyOpen(last, link); err != nil {
		s.brokenChain(open.Team, err)
	}
	return usage, nil
}

// brokenChain notes that a team's segments do not follow each other.
func (s *simulation) brokenChain(team string, err error) {
	s.result.Violation = fmt.Sprintf("%s: %v", team, err)
}

// compareTeam compares one team's amounts.
func (s *simulation) compareTeam(name string, usage ledger.Usage) {
	result, account := s.result, s.audit.settledByTeam[name]
	amounts := Amounts{
		LedgerCPU:  usage.CPU,
		RuntimeCPU: account.CPU,
		LedgerGPU:  usage.GPU,
		RuntimeGPU: account.GPU,
		LedgerMem:  usage.Mem,
		RuntimeMem: account.Mem,
	}
	result.Teams = append(result.Teams, Team{name, amounts, usage.Starts})
	result.LedgerCPU += usage.CPU
	result.RuntimeCPU += account.CPU
	result.LedgerGPU += usage.GPU
	result.RuntimeGPU += account.GPU
	result.LedgerMem += usage.Mem
	result.RuntimeMem += account.Mem
	for _, pair := range [][2]uint64{{usage.CPU, account.CPU}, {usage.GPU, account.GPU}, {usage.Mem, account.Mem}} {
		charged, ran := pair[0], pair[1]
		result.Overcharged += max(charged, ran) - ran
		result.Undercharged += max(charged, ran) - charged
	}
}
