package ledgersim

import (
	"context"
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	unlimitedRate    = 1e9 // requests per second, so that the rate limits of the client never apply
	storeTimeout     = time.Second
	segmentsPerRead  = 50
	intervalsPerRead = 1000
)

// compare reads the ledger through the same client as a controller, compares it with the audit, and completes the
// result.
func (s *simulation) compare() {
	result, ctx := s.result, context.Background()
	client := store.NewWithTransports(s.world.State, s.world.State, storeTimeout)
	client.SetRateLimits(unlimitedRate, unlimitedRate)
	result.Failovers, result.Settlements = len(s.audit.leaders)-1, s.audit.settlementCount
	elapsed := s.world.Now().Sub(s.start)
	result.WriteShare = float64(s.audit.ledgerWrites) / (s.platform.Deployment.State.WriteRPS * elapsed.Seconds())
	if err := s.compareAccounts(ctx, client); err != nil {
		s.recordReadError(err)
		return
	}
	intervals, _, err := client.Intervals(ctx, 0, intervalsPerRead)
	if err != nil {
		s.recordReadError(err)
	}
	result.UnaccountedIntervals = len(intervals)
	if len(s.world.Violations) > 0 {
		result.Violation = s.world.Violations[0]
	}
	if len(s.world.RejectedKeys) > 0 {
		result.Violation = "the state service rejected the record " + s.world.RejectedKeys[0]
	}
}

// recordReadError records a failed read of the ledger as a violation.
func (s *simulation) recordReadError(err error) {
	s.result.Violation = "failed to read the ledger: " + err.Error()
}

// compareAccounts compares the account of each team with the audit. A team without an account has no usage in the
// ledger.
func (s *simulation) compareAccounts(ctx context.Context, client *store.Client) error {
	accounts, err := client.Accounts(ctx)
	if err != nil {
		return err
	}
	recorded := map[string]bool{}
	for _, account := range accounts {
		open := &account.Open
		recorded[open.Team] = true
		closed, err := s.readClosedSegments(ctx, client, open)
		if err != nil {
			return err
		}
		usage := ledger.TotalUsage(open.Usage)
		usage.Add(closed)
		s.compareTeam(open.Team, usage)
	}
	for _, team := range teams {
		if !recorded[team.Name] && s.audit.committedByTeam[team.Name] != (ResourceTime{}) {
			s.compareTeam(team.Name, ledger.Usage{})
		}
	}
	return nil
}

// readClosedSegments returns the usage in a team's closed segments. It also verifies the hash chain of the segments,
// including the open one.
func (s *simulation) readClosedSegments(
	ctx context.Context, client *store.Client, open *ledger.OpenSegment,
) (usage ledger.Usage, err error) {
	hasher := ledger.NewSegmentHasher(nil)
	var last, after uint64
	var link string
	for more := true; more; {
		var segments []ledger.StoredSegment
		segments, more, err = client.Segments(ctx, open.Team, after, segmentsPerRead)
		if err != nil {
			return usage, err
		}
		for _, segment := range segments {
			usage.Add(ledger.TotalUsage(segment.Usage))
			after = segment.First
			s.result.Segments++
			s.result.SegmentsCompacted += int(segment.Last - segment.First)
			last, link, err = hasher.Verify([]ledger.Segment{segment.Segment}, last, link)
			s.recordVerification(open.Team, err)
		}
	}
	s.recordVerification(open.Team, open.VerifyOpen(last, link))
	return usage, nil
}

// recordVerification records a violation if err, the result of verifying a team's hash chain, is not nil.
func (s *simulation) recordVerification(team string, err error) {
	if err != nil {
		s.result.Violation = fmt.Sprintf("hash chain of team %s: %v", team, err)
	}
}

// compareTeam adds a team's usage in the ledger and in the audit to the result.
func (s *simulation) compareTeam(name string, recorded ledger.Usage) {
	audited := s.audit.committedByTeam[name]
	s.result.addTeam(Team{
		Team: name,
		Comparison: Comparison{
			LedgerCPU:  recorded.CPU,
			AuditedCPU: audited.CPU,
			LedgerGPU:  recorded.GPU,
			AuditedGPU: audited.GPU,
			LedgerMem:  recorded.Mem,
			AuditedMem: audited.Mem,
		},
		Starts: recorded.Starts,
	})
}
