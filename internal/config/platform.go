// Package config reads and checks the settings files. The platform's file (TOML) describes this controller's
// addresses and the deployment that it belongs to. The operators' file (XML) controls the behavior of the
// controller.
//
// ReadPlatform and ReadOperator read the files. CheckConsistency checks them against each other. The names in the
// files are published and cannot change. Only the struct tags and the error messages of this package contain them;
// the rest of the code uses the names of the fields.
//
// The functions in settings.go, settings_ledger.go and settings_members.go then fill the Settings of other packages.
// So those packages do not depend on the files, and one place shows which setting reaches which package.
package config

import (
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/glentiller/glentiller/internal/model"
)

// Platform is the content of the platform's file. Unknown names in the file are ignored. Addresses consist of an
// IPv4 address and a port.
type Platform struct {
	Member     string     `toml:"member"`  // name of this controller
	Zone       string     `toml:"domain"`  // zone of this controller
	HTTPAddr   string     `toml:"front"`   // address for users and workers
	PeerAddr   string     `toml:"back"`    // address for the other controllers
	Members    []Peer     `toml:"members"` // the other controllers
	Services   Services   `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Peer describes another controller of the deployment.
type Peer struct {
	Member string `toml:"member"` // its name
	Zone   string `toml:"domain"`
	Addr   string `toml:"peer_addr"`
}

// Services holds the addresses of the services that the controllers depend on.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment describes the deployment that the controllers manage.
type Deployment struct {
	Nodes         int           `toml:"nodes"` // number of controllers; 0 if not stated
	Zones         []string      `toml:"zones"`
	ClockOffsetMS float64       `toml:"clock_off_ms"` // clock offset between machines, in milliseconds; not used
	Teams         []team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimes   `toml:"workers"`
	State         StateService  `toml:"state"`
	Cloud         CloudService  `toml:"cloud"`
	Limits        MachineLimits `toml:"machine_limits"`
}

// team is a team with its guarantee and its quota. For each resource, 0 means no guarantee or no quota.
type team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed
	CPUsMax float64 `toml:"cpus_max"` // quota
	GPUs    float64 `toml:"gpus"`     // guaranteed
	GPUsMax float64 `toml:"gpus_max"` // quota
}

// Objective is a service-level objective of a job class. Kinds other than those listed below are ignored.
type Objective struct {
	Kind             string  `toml:"kind"` // "wait" (start of a task), "finished" (end of a job) or "deadline"
	Class            string  `toml:"class"`
	WithinSeconds    float64 `toml:"within_s"` // for "wait" and "finished": seconds since the job became eligible
	Share            float64 `toml:"share"`    // fraction of the jobs that must meet the objective; not used
	DeadlineMultiple float64 `toml:"times"`    // for "deadline": multiple of the job's own deadline
}

// WorkerTimes holds the timings of the workers, in seconds.
type WorkerTimes struct {
	HeartbeatSeconds float64 `toml:"report_s"`    // time between heartbeats
	LeaseSeconds     float64 `toml:"lease_s"`     // validity of a lease after the response to a heartbeat
	GangWaitSeconds  float64 `toml:"gang_wait_s"` // how long a gang's task waits for the other tasks to be ready
	GangPeerSeconds  float64 `toml:"gang_peer_s"` // timeout between the workers of a gang; not used by controllers
	CancelSeconds    float64 `toml:"cancel_s"`    // maximum time from a cancellation to the end of the job's tasks
}

// StateService holds the present and the upcoming limits of the state service.
type StateService struct {
	StateLimits
	Next StateLimits `toml:"next"` // limits from an unknown time on; 0 means that the present limit stays
}

// CloudService holds the limits of the cloud.
type CloudService struct {
	RPS            float64 `toml:"rps"`        // requests per second of all controllers together; 0 if not stated
	ListLagSeconds float64 `toml:"list_lag_s"` // maximum age of the cloud's machine list, in seconds
}

// MachineLimits holds the limits of the machine that this controller runs on. 0 means that a limit is not stated.
type MachineLimits struct {
	Cores          float64 `toml:"cores"` // not used
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"` // sockets of the process
}

// ReadPlatform reads and checks the platform's file. If settings are invalid, the error lists all of them.
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

// Teams returns the teams of the deployment, in the order of the file.
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

// peers returns the names of the other controllers, in the order of the file.
func (p *Platform) peers() []string {
	var names []string
	for _, m := range p.Members {
		names = append(names, m.Member)
	}
	return names
}

// seconds converts a number of seconds, such as 1.5, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
