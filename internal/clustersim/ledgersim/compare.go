package ledgersim

import (
	"context"
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	unlimited        = 1e9 // requests a second
	storeTimeout     = time.Second
	segmentsPerRead  = 50
	intervalsPerRead = 1000
)

// compare reads the ledger as any controller does, and compares it with the audit.
func (s *simulation) compare() {
	r, ctx := s.result, context.Background()
	client := store.NewOver(s.world.State, s.world.State, storeTimeout)
	client.SetRateLimits(unlimited, unlimited)
	r.Failovers, r.Settlements = len(s.audit.leaders)-1, s.audit.settlementCount
	elapsed := s.world.Now().Sub(s.start)
	r.WriteShare = float64(s.audit.ledgerWrites) / (s.platform.Deployment.State.WriteRPS * elapsed.Seconds())
	if err := s.compareAccounts(ctx, client); err != nil {
		s.violateRead(err)
		return
	}
	intervals, _, err := client.Intervals(ctx, 0, intervalsPerRead)
	if err != nil {
		s.violateRead(err)
	}
	r.UnaccountedIntervals = len(intervals)
	if len(s.world.Violations) > 0 {
		r.Violation = s.world.Violations[0]
	}
	if len(s.world.RejectedKeys) > 0 {
		r.Violation = "the state service rejected " + s.world.RejectedKeys[0]
	}
}

// violateRead records that the ledger cannot be read.
func (s *simulation) violateRead(err error) {
	s.result.Violation = "the ledger cannot be read: " + err.Error()
}

// compareAccounts compares the teams' accounts, and the teams that have none.
func (s *simulation) compareAccounts(ctx context.Context, client *store.Client) error {
	accounts, err := client.Accounts(ctx)
	if err != nil {
		return err
	}
	recorded := map[string]bool{}
	for _, account := range accounts {
		open := &account.Open
		recorded[open.Team] = true
		closed, err := s.readClosed(ctx, client, open)
		if err != nil {
			return err
		}
		usage := ledger.Total(open.Usage)
		usage.Add(closed)
		s.compareTeam(open.Team, usage)
	}
	for _, team := range teams {
		if !recorded[team.Name] && s.audit.settledByTeam[team.Name] != (Amount{}) {
			s.compareTeam(team.Name, ledger.Usage{})
		}
	}
	return nil
}

// readClosed returns the usage in a team's closed segments, and verifies the hash chain up to the open one.
func (s *simulation) readClosed(
	ctx context.Context, client *store.Client, open *ledger.OpenSegment,
) (usage ledger.Usage, err error) {
	seal := ledger.NewSeal(nil)
	var last, after uint64
	var link string
	for more := true; more; {
		var segments []ledger.StoredSegment
		segments, more, err = client.Segments(ctx, open.Team, after, segmentsPerRead)
		if err != nil {
			return usage, err
		}
		for _, segment := range segments {
			usage.Add(ledger.Total(segment.Usage))
			after = segment.First
			s.result.Segments++
			s.result.SegmentsFolded += int(segment.Last - segment.First)
			last, link, err = seal.Verify([]ledger.Segment{segment.Segment}, last, link)
			s.verified(open.Team, err)
		}
	}
	s.verified(open.Team, open.VerifyOpen(last, link))
	return usage, nil
}

// verified records the violation if a team's hash chain does not hold.
func (s *simulation) verified(team string, err error) {
	if err != nil {
		s.result.Violation = fmt.Sprintf("%s: %v", team, err)
	}
}

// compareTeam compares one team's usage in the ledger with the audit's.
func (s *simulation) compareTeam(name string, recorded ledger.Usage) {
	audited := s.audit.settledByTeam[name]
	s.result.addTeam(Team{
		Team: name,
		Amounts: Amounts{
			LedgerCPU:  recorded.CPU,
			RuntimeCPU: audited.CPU,
			LedgerGPU:  recorded.GPU,
			RuntimeGPU: audited.GPU,
			LedgerMem:  recorded.Mem,
			RuntimeMem: audited.Mem,
		},
		Starts: recorded.Starts,
	})
}
