package scheduler

// WaitReason says why a request waits.
type WaitReason uint8

// The reasons for which requests wait.
const (
	WaitCapacity  WaitReason = iota // no feasible machine has capacity
	WaitQuota                       // the team's quota is used up
	WaitGuarantee                   // production and work within other teams' guarantees were served first
	WaitFairShare                   // teams further below their fair share were served first
)

// servedSummary is what a pass has served so far, as far as it explains why later requests wait.
type servedSummary struct {
	teams      [2]string // up to two different teams whose production or guaranteed work was served
	lowestBand int       // 1 + the lowest fair-share band served beyond guarantees; 0: none was
}

// record notes that a part of a request was served.
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

// servedOther reports whether production or guaranteed work of another team was served.
func (s *servedSummary) servedOther(team string) bool {
	return s.teams[0] != "" && s.teams[0] != team || s.teams[1] != "" && s.teams[1] != team
}

// waitReason says why a request waits that no node has capacity for.
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
