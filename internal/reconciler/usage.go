package reconciler

import "github.com/glentiller/glentiller/internal/model"

// teamUsage keeps what the teams' attempts hold on machines.
type teamUsage struct {
	byTeam map[string]*model.Usage
	// orphans is what attempts hold whose job has ended. Their demand and team are not known any more, so they count
	// against every team.
	orphans model.Usage
}

func newTeamUsage(teams []model.Team) teamUsage {
	usage := teamUsage{byTeam: make(map[string]*model.Usage, len(teams))}
	for i := range teams {
		usage.byTeam[teams[i].Name] = &model.Usage{}
	}
	return usage
}

// ofTeam returns the usage of a team. A team that the settings do not name has one too: its jobs may have been accepted
// under other settings.
func (usage *teamUsage) ofTeam(team string) *model.Usage {
	u := usage.byTeam[team]
	if u == nil {
		u = &model.Usage{}
		usage.byTeam[team] = u
	}
	return u
}
