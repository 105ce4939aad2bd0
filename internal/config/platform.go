// Package config reads and checks the settings: the platform's TOML file, which
// says where this controller is and what the deployment is like, and the
// operators' XML file, which says how it is to behave.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/glentiller/glentiller/internal/model"
)

// Platform is what the platform hands over. Fields that it does not know are
// ignored.
type Platform struct {
	Member   string `toml:"member"`
	Zone     string `toml:"domain"`
	HTTPAddr string `toml:"front"`
	PeerAddr string `toml:"back"`
	Members  []Peer `toml:"members"`

	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`

	Deployment struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		ClockOffMS float64     `toml:"clock_off_ms"`
		Teams      []team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			Report   float64 `toml:"report_s"`
			Lease    float64 `toml:"lease_s"`
			GangWait float64 `toml:"gang_wait_s"`
			GangPeer float64 `toml:"gang_peer_s"`
			Cancel   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			StateLimits
			Next StateLimits `toml:"next"` // from some moment on; what is missing stays
		} `toml:"state"`
		Cloud struct {
			RPS     float64 `toml:"rps"`
			ListLag float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores          float64 `toml:"cores"`
			MemMB          float64 `toml:"mem_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"deployment"`
}

// StateLimits are what the state service takes.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// StateLimits are the limits to keep within: the smaller of the present ones and of
// those to come, since the change comes without notice. One that is 0 or missing is none
// that the platform has stated, and is taken to be a modest one; the service obeys refusals
// in any case. Guards against a controller that refuses to start for want of a limit.
func (p *Platform) StateLimits() StateLimits {
	l, next := p.Deployment.State.StateLimits, p.Deployment.State.Next
	setDefault(&l.RPS, defaultStateLimits.RPS)
	setDefault(&l.WriteRPS, defaultStateLimits.WriteRPS)
	setDefault(&l.ValueKB, defaultStateLimits.ValueKB)
	setDefault(&l.TxnOps, defaultStateLimits.TxnOps)
	lowerTo(&l.RPS, next.RPS)
	lowerTo(&l.WriteRPS, next.WriteRPS)
	lowerTo(&l.ValueKB, next.ValueKB)
	lowerTo(&l.TxnOps, next.TxnOps)
	return l
}

// valueKB is the present limit on values, whatever comes next.
func (p *Platform) valueKB() float64 {
	v := p.Deployment.State.ValueKB
	setDefault(&v, defaultStateLimits.ValueKB)
	return v
}

// CloudRPS is how many requests a second the cloud takes of all controllers.
func (p *Platform) CloudRPS() float64 {
	rps := p.Deployment.Cloud.RPS
	setDefault(&rps, defaultCloudRPS)
	return rps
}

// What is kept within where the platform states no limit.
var defaultStateLimits = StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 12}

const defaultCloudRPS = 1.0

func setDefault[N int | float64](to *N, value N) {
	if *to == 0 {
		*to = value
	}
}

func lowerTo[N int | float64](to *N, next N) {
	if next > 0 && next < *to {
		*to = next
	}
}

// Peer is another controller.
type Peer struct {
	Member string `toml:"member"`
	Zone   string `toml:"domain"`
	Addr   string `toml:"peer_addr"`
}

type team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one aim that the users have stated.
type Objective struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within float64 `toml:"within_s"`
	Share  float64 `toml:"share"`
	Times  float64 `toml:"times"`
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

const (
	minTxnOps  = 2 // the end of a job takes two changes
	minValueKB = 1 // a chunk of finished tasks takes half of it
)

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *Platform) validate() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	addr := func(name, v string) {
		host, port, err := net.SplitHostPort(v)
		if ip := net.ParseIP(host); err != nil || ip == nil || ip.To4() == nil || port == "" || port == "0" {
			bad("%s: %q is not an IPv4 address with a port", name, v)
		}
	}
	above := func(name string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) || v > 1e9 {
			bad("%s: must be a number above 0", name)
		}
	}
	if p.Member == "" {
		bad("member: missing")
	}
	addr("front", p.HTTPAddr)
	addr("back", p.PeerAddr)
	if p.HTTPAddr == p.PeerAddr && p.HTTPAddr != "" {
		bad("front and back are the same address")
	}
	addr("outside.cloud", p.Services.Cloud)
	addr("outside.state", p.Services.State)
	names := map[string]bool{p.Member: true}
	for i, m := range p.Members {
		if m.Member == "" || names[m.Member] {
			bad("members[%d]: the name %q is missing or taken", i, m.Member)
		}
		names[m.Member] = true
		addr(fmt.Sprintf("members[%d].peer_addr", i), m.Addr)
	}
	d := &p.Deployment
	if d.Nodes != 0 && d.Nodes != len(p.Members)+1 {
		bad("deployment.nodes: %d, but this controller has %d members besides it", d.Nodes, len(p.Members))
	}
	if len(d.Zones) == 0 {
		bad("deployment.zones: missing")
	}
	teams := map[string]bool{}
	for i, t := range d.Teams {
		name := fmt.Sprintf("deployment.teams[%d]", i)
		if t.Name == "" || teams[t.Name] {
			bad("%s: the name %q is missing or taken", name, t.Name)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				bad("%s: an amount is not a number of 0 or more", name)
				break
			}
		}
		if l := model.NewQuota(t.CPUsMax, t.GPUsMax); !l.Allows(model.Resources{CPU: t.CPUs, GPU: t.GPUs}) {
			bad("%s: the guarantee is above the limit", name)
		}
	}
	if len(d.Teams) == 0 {
		bad("deployment.teams: missing")
	}
	above("deployment.workers.report_s", d.Workers.Report)
	above("deployment.workers.lease_s", d.Workers.Lease)
	above("deployment.workers.cancel_s", d.Workers.Cancel)
	if d.Workers.Lease <= d.Workers.Report {
		bad("deployment.workers: lease_s must be above report_s")
	}
	limit := func(name string, v float64) {
		if v != 0 {
			above(name, v)
		}
	}
	limit("deployment.state.rps", d.State.RPS)
	limit("deployment.state.write_rps", d.State.WriteRPS)
	limit("deployment.state.value_kb", d.State.ValueKB)
	limit("deployment.cloud.rps", d.Cloud.RPS)
	if d.State.Next.RPS < 0 || d.State.Next.WriteRPS < 0 || d.State.Next.ValueKB < 0 || d.State.Next.TxnOps < 0 {
		bad("deployment.state.next: negative")
	}
	l := p.StateLimits()
	if l.TxnOps < minTxnOps {
		bad("deployment.state.txn_ops: must be %d or more, now and next", minTxnOps)
	}
	if l.ValueKB < minValueKB {
		bad("deployment.state.value_kb: must be %d or more, now and next", minValueKB)
	}
	if d.Cloud.ListLag < 0 {
		bad("deployment.cloud.list_lag_s: negative")
	}
	if d.Limits.MemMB < 0 || d.Limits.MaxConnections < 0 {
		bad("deployment.machine_limits: negative")
	}
	return errors.Join(errs...)
}

// Teams returns the teams.
func (p *Platform) Teams() []model.Team {
	var out []model.Team
	for _, t := range p.Deployment.Teams {
		out = append(out, model.Team{Name: t.Name, Guarantee: model.Resources{CPU: t.CPUs, GPU: t.GPUs},
			Quota: model.NewQuota(t.CPUsMax, t.GPUsMax)})
	}
	return out
}
