package scheduler

// WaitReason is the reason why tasks of a request were not placed in a pass.
type WaitReason uint8

// The reasons for which requests wait.
const (
	WaitCapacity  WaitReason = iota // no feasible node has enough free resources
	WaitQuota                       // the team's quota does not allow more tasks
	WaitGuarantee                   // production, or work within another team's guarantee, was served first
	WaitFairShare                   // teams further below their fair share, in a lower band, were served first
)

// servedSummary summarizes the requests that a pass has served so far, as far as waitReason needs it.
type servedSummary struct {
	teams      [2]string // up to two different teams whose production or guaranteed requests were served
	lowestBand int       // 1 + the lowest fair-share band of the best-effort requests served; 0 if there are none
}

// record adds a request to the summary. The pass calls it for requests that are at least partly placed, and for all
// production and guaranteed requests that the quota admits.
func (s *servedSummary) record(request *Request) {
	switch team := request.Job.Spec.Team; {
	case request.qosClass() == qosBestEffort:
		if s.lowestBand == 0 || request.FairShareBand+1 < s.lowestBand {
			s.lowestBand = request.FairShareBand + 1
		}
	case s.teams[0] == "" || s.teams[0] == team:
		s.teams[0] = team
	default:
		s.teams[1] = team
	}
}

// servedOther reports whether production or guaranteed requests of a team other than the given one were served.
func (s *servedSummary) servedOther(team string) bool {
	return s.teams[0] != "" && s.teams[0] != team || s.teams[1] != "" && s.teams[1] != team
}

// waitReason returns the reason why a request waits if no node has capacity for it.
func (s *servedSummary) waitReason(request *Request) WaitReason {
	switch {
	case request.qosClass() != qosBestEffort:
		return WaitCapacity
	case s.servedOther(request.Job.Spec.Team):
		return WaitGuarantee
	case s.lowestBand > 0 && s.lowestBand-1 < request.FairShareBand:
		return WaitFairShare
	}
	return WaitCapacity
}
