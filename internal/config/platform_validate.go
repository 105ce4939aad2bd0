package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	minTxnOps  = 2   // the end of a job takes two changes
	minValueKB = 1   // a chunk of finished tasks takes half of it
	maxNumber  = 1e9 // of any setting
)

// platformErrors collects what is wrong with the platform's file.
type platformErrors struct{ errs []error }

func (e *platformErrors) addf(format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf(format, args...))
}

func (e *platformErrors) checkAddr(name, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || ip.To4() == nil || port == "" || port == "0" {
		e.addf("%s: %q is not an IPv4 address with a port", name, addr)
	}
}

func (e *platformErrors) checkPositive(name string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) || v > maxNumber {
		e.addf("%s: must be a number above 0", name)
	}
}

// checkLimit checks a limit, which may be missing.
func (e *platformErrors) checkLimit(name string, v float64) {
	if v != 0 {
		e.checkPositive(name, v)
	}
}

func (p *Platform) validate() error {
	e := &platformErrors{}
	p.checkAddresses(e)
	p.checkMembers(e)
	d := &p.Deployment
	if len(d.Zones) == 0 {
		e.addf("deployment.zones: missing")
	}
	d.checkTeams(e)
	d.Workers.check(e)
	p.checkLimits(e)
	if d.Cloud.ListLag < 0 {
		e.addf("deployment.cloud.list_lag_s: negative")
	}
	if d.Limits.MemMB < 0 || d.Limits.MaxConnections < 0 {
		e.addf("deployment.machine_limits: negative")
	}
	return errors.Join(e.errs...)
}

func (p *Platform) checkAddresses(e *platformErrors) {
	if p.Member == "" {
		e.addf("member: missing")
	}
	e.checkAddr("front", p.HTTPAddr)
	e.checkAddr("back", p.PeerAddr)
	if p.HTTPAddr == p.PeerAddr && p.HTTPAddr != "" {
		e.addf("front and back are the same address")
	}
	e.checkAddr("outside.cloud", p.Services.Cloud)
	e.checkAddr("outside.state", p.Services.State)
}

func (p *Platform) checkMembers(e *platformErrors) {
	names := map[string]bool{p.Member: true}
	for i, m := range p.Members {
		if m.Member == "" || names[m.Member] {
			e.addf("members[%d]: the name %q is missing or taken", i, m.Member)
		}
		names[m.Member] = true
		e.checkAddr(fmt.Sprintf("members[%d].peer_addr", i), m.Addr)
	}
	if nodes := p.Deployment.Nodes; nodes != 0 && nodes != len(p.Members)+1 {
		e.addf("deployment.nodes: %d, but this controller has %d members besides it", nodes, len(p.Members))
	}
}

func (d *Deployment) checkTeams(e *platformErrors) {
	names := map[string]bool{}
	for i, t := range d.Teams {
		at := fmt.Sprintf("deployment.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			e.addf("%s: the name %q is missing or taken", at, t.Name)
		}
		names[t.Name] = true
		t.check(e, at)
	}
	if len(d.Teams) == 0 {
		e.addf("deployment.teams: missing")
	}
}

func (t *team) check(e *platformErrors, at string) {
	for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
		if !(v >= 0) || math.IsInf(v, 0) {
			e.addf("%s: an amount is not a number of 0 or more", at)
			break
		}
	}
	guarantee := model.Resources{CPU: t.CPUs, GPU: t.GPUs}
	if quota := model.NewQuota(t.CPUsMax, t.GPUsMax); !quota.Allows(guarantee) {
		e.addf("%s: the guarantee is above the limit", at)
	}
}

func (w *WorkerTimes) check(e *platformErrors) {
	e.checkPositive("deployment.workers.report_s", w.Heartbeat)
	e.checkPositive("deployment.workers.lease_s", w.Lease)
	e.checkPositive("deployment.workers.cancel_s", w.Cancel)
	if w.Lease <= w.Heartbeat {
		e.addf("deployment.workers: lease_s must be above report_s")
	}
}

// checkLimits checks the limits of the outside services.
func (p *Platform) checkLimits(e *platformErrors) {
	d := &p.Deployment
	e.checkLimit("deployment.state.rps", d.State.RPS)
	e.checkLimit("deployment.state.write_rps", d.State.WriteRPS)
	e.checkLimit("deployment.state.value_kb", d.State.ValueKB)
	e.checkLimit("deployment.cloud.rps", d.Cloud.RPS)
	if next := d.State.Next; next.RPS < 0 || next.WriteRPS < 0 || next.ValueKB < 0 || next.TxnOps < 0 {
		e.addf("deployment.state.next: negative")
	}
	l := p.StateLimits()
	if l.TxnOps < minTxnOps {
		e.addf("deployment.state.txn_ops: must be %d or more, now and next", minTxnOps)
	}
	if l.ValueKB < minValueKB {
		e.addf("deployment.state.value_kb: must be %d or more, now and next", minValueKB)
	}
}
