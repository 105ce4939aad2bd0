package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	minTxnOps  = 2   // recording the end of a job takes two operations in one transaction
	minValueKB = 1   // a chunk of the finished-task record takes half of this size
	maxNumber  = 1e9 // upper bound of settings that must be positive
)

// platformErrors collects the errors in the platform's file.
type platformErrors struct{ errs []error }

func (e *platformErrors) addf(format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf(format, args...))
}

// checkAddr adds an error unless addr is an IPv4 address with a port other than 0.
func (e *platformErrors) checkAddr(name, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || ip.To4() == nil || port == "" || port == "0" {
		e.addf("%s: %q is not an IPv4 address with a port", name, addr)
	}
}

// checkPositive adds an error unless v is above 0 and at most maxNumber. NaN is an error.
func (e *platformErrors) checkPositive(name string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) || v > maxNumber {
		e.addf("%s: must be a number above 0 and at most 1e9", name)
	}
}

// checkLimit adds an error if a limit is stated but not positive. 0 means that it is not stated.
func (e *platformErrors) checkLimit(name string, v float64) {
	if v != 0 {
		e.checkPositive(name, v)
	}
}

// validate returns all errors in the settings, joined.
func (p *Platform) validate() error {
	e := &platformErrors{}
	p.checkAddresses(e)
	p.checkMembers(e)
	d := &p.Deployment
	if len(d.Zones) == 0 {
		e.addf("deployment.zones: must name at least one zone")
	}
	d.checkTeams(e)
	d.Workers.check(e)
	p.checkLimits(e)
	if d.Cloud.ListLagSeconds < 0 {
		e.addf("deployment.cloud.list_lag_s: must not be negative")
	}
	if d.Limits.MemMB < 0 || d.Limits.MaxConnections < 0 {
		e.addf("deployment.machine_limits: mem_mb and max_connections must not be negative")
	}
	return errors.Join(e.errs...)
}

func (p *Platform) checkAddresses(e *platformErrors) {
	if p.Member == "" {
		e.addf("member: the name of this controller is missing")
	}
	e.checkAddr("front", p.HTTPAddr)
	e.checkAddr("back", p.PeerAddr)
	if p.HTTPAddr == p.PeerAddr && p.HTTPAddr != "" {
		e.addf("front and back must not be the same address")
	}
	e.checkAddr("outside.cloud", p.Services.Cloud)
	e.checkAddr("outside.state", p.Services.State)
}

func (p *Platform) checkMembers(e *platformErrors) {
	names := map[string]bool{p.Member: true}
	for i, m := range p.Members {
		if m.Member == "" || names[m.Member] {
			e.addf("members[%d]: the name %q is missing or already used", i, m.Member)
		}
		names[m.Member] = true
		e.checkAddr(fmt.Sprintf("members[%d].peer_addr", i), m.Addr)
	}
	if nodes := p.Deployment.Nodes; nodes != 0 && nodes != len(p.Members)+1 {
		e.addf("deployment.nodes: got %d, but members lists %d controllers besides this one", nodes, len(p.Members))
	}
}

func (d *Deployment) checkTeams(e *platformErrors) {
	names := map[string]bool{}
	for i, t := range d.Teams {
		path := fmt.Sprintf("deployment.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			e.addf("%s: the name %q is missing or already used", path, t.Name)
		}
		names[t.Name] = true
		t.check(e, path)
	}
	if len(d.Teams) == 0 {
		e.addf("deployment.teams: must list at least one team")
	}
}

func (t *team) check(e *platformErrors, path string) {
	for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
		if !(v >= 0) || math.IsInf(v, 0) {
			e.addf("%s: an amount is negative or not a finite number", path)
			break
		}
	}
	guarantee := model.Resources{CPU: t.CPUs, GPU: t.GPUs}
	if quota := model.NewQuota(t.CPUsMax, t.GPUsMax); !quota.Allows(guarantee) {
		e.addf("%s: the guarantee exceeds the quota", path)
	}
}

func (w *WorkerTimes) check(e *platformErrors) {
	e.checkPositive("deployment.workers.report_s", w.HeartbeatSeconds)
	e.checkPositive("deployment.workers.lease_s", w.LeaseSeconds)
	e.checkPositive("deployment.workers.cancel_s", w.CancelSeconds)
	if w.LeaseSeconds <= w.HeartbeatSeconds {
		e.addf("deployment.workers: lease_s must be longer than report_s")
	}
}

// checkLimits checks the limits of the state service and the cloud. The limits on values and transactions must meet
// the minimum now and after the switch to the upcoming limits.
func (p *Platform) checkLimits(e *platformErrors) {
	d := &p.Deployment
	e.checkLimit("deployment.state.rps", d.State.RPS)
	e.checkLimit("deployment.state.write_rps", d.State.WriteRPS)
	e.checkLimit("deployment.state.value_kb", d.State.ValueKB)
	e.checkLimit("deployment.cloud.rps", d.Cloud.RPS)
	if next := d.State.Next; next.RPS < 0 || next.WriteRPS < 0 || next.ValueKB < 0 || next.TxnOps < 0 {
		e.addf("deployment.state.next: limits must not be negative")
	}
	l := p.StateLimits()
	if l.TxnOps < minTxnOps {
		e.addf("deployment.state.txn_ops: must be at least %d, also in deployment.state.next", minTxnOps)
	}
	if l.ValueKB < minValueKB {
		e.addf("deployment.state.value_kb: must be at least %d, also in deployment.state.next", minValueKB)
	}
}
