// Package config reads and checks the settings: the platform's TOML file, which
// says where this controller is and what the deployment is like, and the
// operators' XML file, which says how it is to behave.
//
// ReadPlatform and ReadOperator read the files, CheckConsistency checks them against
// each other. The names in the files are published and can't change; the tags of
// the fields map them to the usual terms and are the only place that knows them.
//
// The functions in settings.go and its neighbours then fill the Settings of the other
// packages. For that this package alone imports eleven of them: none of them knows
// the files, and which setting reaches which package is seen in one place.
package config

import (
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/glentiller/glentiller/internal/model"
)

// Platform is the content of the platform's file. Fields that are not known are
// ignored.
type Platform struct {
	Member     string     `toml:"member"`
	Zone       string     `toml:"domain"`
	HTTPAddr   string     `toml:"front"`
	PeerAddr   string     `toml:"back"`
	Members    []Peer     `toml:"members"`
	Services   Services   `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Member string `toml:"member"`
	Zone   string `toml:"domain"`
	Addr   string `toml:"peer_addr"`
}

// Services are the addresses of the outside services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment describes the deployment that the controllers serve.
type Deployment struct {
	Nodes         int           `toml:"nodes"`
	Zones         []string      `toml:"zones"`
	ClockOffsetMS float64       `toml:"clock_off_ms"`
	Teams         []team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimes   `toml:"workers"`
	State         StateService  `toml:"state"`
	Cloud         CloudService  `toml:"cloud"`
	Limits        MachineLimits `toml:"machine_limits"`
}

// team is a team with its guarantee and its quota.
type team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within float64 `toml:"within_s"`
	Share  float64 `toml:"share"`
	Times  float64 `toml:"times"`
}

// WorkerTimes are the timings of the workers, in seconds.
type WorkerTimes struct {
	Heartbeat float64 `toml:"report_s"` // between heartbeats
	Lease     float64 `toml:"lease_s"`  // after the answer to a heartbeat
	GangWait  float64 `toml:"gang_wait_s"`
	GangPeer  float64 `toml:"gang_peer_s"`
	Cancel    float64 `toml:"cancel_s"` // from a cancellation to the end of the job's tasks, at the most
}

// StateService holds the limits of the state service, present and upcoming.
type StateService struct {
	StateLimits
	Next StateLimits `toml:"next"` // from some moment on; a limit that is missing stays
}

// CloudService holds the limits of the cloud.
type CloudService struct {
	RPS     float64 `toml:"rps"`
	ListLag float64 `toml:"list_lag_s"`
}

// MachineLimits are the limits of the machine that this controller runs on.
type MachineLimits struct {
	Cores          float64 `toml:"cores"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// ReadPlatform reads and checks the platform's file.
func ReadPlatform(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Platform{}
	if err := toml.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Teams returns the teams.
func (p *Platform) Teams() []model.Team {
	var teams []model.Team
	for _, t := range p.Deployment.Teams {
		teams = append(teams, model.Team{
			Name:      t.Name,
			Guarantee: model.Resources{CPU: t.CPUs, GPU: t.GPUs},
			Quota:     model.NewQuota(t.CPUsMax, t.GPUsMax),
		})
	}
	return teams
}

// peers returns the names of the other controllers.
func (p *Platform) peers() []string {
	var names []string
	for _, m := range p.Members {
		names = append(names, m.Member)
	}
	return names
}

// Seconds converts a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
