package reconciler

import "github.com/glentiller/glentiller/internal/model"

// teamUsage tracks the resources that attempts hold on machines.
type teamUsage struct {
	byTeam map[string]*model.Usage // by team name
	// orphans is the usage of attempts that were found on a machine after their job had ended. Their demands and
	// teams are no longer known, so they count against every team.
	orphans model.Usage
}

func newTeamUsage(teams []model.Team) teamUsage {
	usage := teamUsage{byTeam: make(map[string]*model.Usage, len(teams))}
	for i := range teams {
		usage.byTeam[teams[i].Name] = &model.Usage{}
	}
	return usage
}

// ofTeam returns the usage of a team, and creates it for a team that is not in the settings: jobs of such a team may
// have been accepted under other settings.
func (usage *teamUsage) ofTeam(team string) *model.Usage {
	u := usage.byTeam[team]
	if u == nil {
		u = &model.Usage{}
		usage.byTeam[team] = u
	}
	return u
}
