package admin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/glentiller/glentiller/internal/ledger"
)

// maxVerifyAttempts is how often a team's segments are read before a problem is reported. A segment that is closed or
// compacted during an attempt looks like a gap.
const maxVerifyAttempts = 3

// waitForReadLimit waits until the rate limit allows another read from the state service, or ctx ends.
func (s *Server) waitForReadLimit(ctx context.Context) error { return s.limiter.Wait(ctx) }

// accounts returns the accounts of all teams, sorted by team. If a record cannot be decoded, it returns an error
// together with all accounts.
func (s *Server) accounts(ctx context.Context) ([]ledger.StoredAccount, error) {
	if err := s.waitForReadLimit(ctx); err != nil {
		return nil, err
	}
	accounts, err := s.records.Accounts(ctx)
	for _, account := range accounts {
		if account.Err != nil && err == nil {
			err = fmt.Errorf("the account of team %q: %w", account.Open.Team, account.Err)
		}
	}
	slices.SortFunc(accounts, func(a, b ledger.StoredAccount) int {
		return strings.Compare(a.Open.Team, b.Open.Team)
	})
	return accounts, err
}

// nextTeam returns the team that follows another one in accounts, which must be sorted by team. It returns "" if no
// team follows.
func nextTeam(accounts []ledger.StoredAccount, team string) string {
	for _, account := range accounts {
		if account.Open.Team > team {
			return account.Open.Team
		}
	}
	return ""
}

// segments reads up to segmentPageSize closed segments of a team that follow the segment whose First is after. The
// boolean result reports whether more segments follow.
func (s *Server) segments(ctx context.Context, team string, after uint64) ([]ledger.StoredSegment, bool, error) {
	if err := s.waitForReadLimit(ctx); err != nil {
		return nil, false, err
	}
	return s.records.Segments(ctx, team, after, segmentPageSize)
}

// verifyTeam verifies the segments of one team, or of the first team if team is "". It tries again if it finds a
// problem. The cursor in the result is the next team.
func (s *Server) verifyTeam(ctx context.Context, team string) (*Verification, error) {
	accounts, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	if team == "" && len(accounts) > 0 {
		team = accounts[0].Open.Team
	}
	verification := &Verification{Team: team, NextCursor: nextTeam(accounts, team)}
	for range maxVerifyAttempts {
		verification.Problem, err = s.verifyTeamOnce(ctx, verification)
		if err != nil || verification.Problem == "" {
			break
		}
	}
	return verification, err
}

// verifyTeamOnce reads the segments and the account of verification.Team once. It returns the first problem that it
// finds, or "" if there is none, and stores in verification how many segments it has verified. It returns an error if
// the records cannot be read.
func (s *Server) verifyTeamOnce(ctx context.Context, verification *Verification) (problem string, err error) {
	verification.Segments, verification.VerifiedThrough = 0, 0
	var link string  // hash link of the last verified segment
	var after uint64 // First of the last verified segment
	for more := true; more; {
		var segments []ledger.StoredSegment
		if segments, more, err = s.segments(ctx, verification.Team, after); err != nil {
			return "", err
		}
		for _, segment := range segments {
			verification.VerifiedThrough, link, err = s.settings.Hasher.Verify(
				[]ledger.Segment{segment.Segment}, verification.VerifiedThrough, link)
			if err != nil {
				return err.Error(), nil
			}
			after = segment.First
			verification.Segments++
		}
	}
	accounts, err := s.accounts(ctx)
	if err != nil {
		return "", err
	}
	for _, account := range accounts {
		if account.Open.Team != verification.Team {
			continue
		}
		if err := account.Open.VerifyOpen(verification.VerifiedThrough, link); err != nil {
			return err.Error(), nil
		}
		return "", nil
	}
	if verification.Segments > 0 {
		return "the account that stands behind the pages is missing", nil
	}
	return "", nil
}

// intervals returns one page of the intervals for which no leader recorded usage. A cursor is the fencing token of
// the last interval of the previous page.
func (s *Server) intervals(ctx context.Context, cursorText string) (*IntervalPage, error) {
	var after uint64
	if cursorText != "" {
		var err error
		if after, err = strconv.ParseUint(cursorText, 10, 64); err != nil {
			return nil, errMalformedCursor
		}
	}
	if err := s.waitForReadLimit(ctx); err != nil {
		return nil, err
	}
	intervals, more, err := s.records.Intervals(ctx, after, intervalPageSize)
	if err != nil {
		return nil, err
	}
	page := &IntervalPage{Intervals: []UnaccountedInterval{}}
	for _, interval := range intervals {
		page.Intervals = append(page.Intervals, UnaccountedInterval(interval))
		after = interval.FencingToken
	}
	if more {
		page.NextCursor = strconv.FormatUint(after, 10)
	}
	return page, nil
}

// fairShares returns the fair-share standing of all teams.
func (s *Server) fairShares(ctx context.Context) (*FairShares, error) {
	accounts, err := s.accounts(ctx)
	if err != nil {
		return nil, err
	}
	open := map[string]ledger.OpenSegment{}
	for _, account := range accounts {
		open[account.Open.Team] = account.Open
	}
	response := &FairShares{
		Enabled:  s.settings.FairShareEnabled,
		HalfLife: s.settings.HalfLife.Seconds(),
		Teams:    []FairShare{},
	}
	decayedUsage := func(team string) uint64 { return open[team].DecayedUsage }
	for _, share := range ledger.FairShares(s.settings.Weights, decayedUsage) {
		response.Teams = append(response.Teams, FairShare{
			Rank:          share.Rank,
			Team:          share.Team,
			Weight:        share.Weight,
			DecayedUsage:  share.DecayedUsage,
			UsageFraction: share.UsageFraction,
			Factor:        share.Factor,
			Band:          share.Band,
			SettledAt:     open[share.Team].SettledAt,
		})
	}
	return response, nil
}
