package scale

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// region is one deployment: its state service, cloud and controllers.
type region struct {
	name        string
	number      int
	zones       []string
	state       *stateServer
	cloud       *cloudServer
	controllers []*controller
	clients     []*userClient
}

// newRegion starts a region's stand-ins and writes the settings of its controllers.
func newRegion(p *Plan, number int, dir, program string, workers *workers) (*region, error) {
	r := &region{name: fmt.Sprintf("region-%d", number), number: number}
	for z := range p.Zones {
		r.zones = append(r.zones, fmt.Sprintf("%s-%c", r.name, 'a'+z))
	}
	var err error
	if r.state, err = newStateServer(r.address(1)); err != nil {
		return nil, err
	}
	if r.cloud, err = newCloudServer(r.address(2), r, workers); err != nil {
		return nil, err
	}
	return r, r.writeSettings(p, dir, program)
}

// address is a loopback address of the region's own with a free port.
func (r *region) address(host int) string { return fmt.Sprintf("127.1.%d.%d:0", r.number+1, host) }

// close ends the region's stand-ins.
func (r *region) close() { _ = errors.Join(r.state.close(), r.cloud.close()) }

// freePort finds a port that is free on an address. Another process may take it before it is used.
func freePort(addr string) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // it was only to find the port
	return l.Addr().String(), nil
}

// writeSettings writes the settings of all controllers of the region.
func (r *region) writeSettings(p *Plan, dir, program string) error {
	for i := range p.Controllers {
		c := &controller{name: fmt.Sprintf("%s-%d", r.name, i), zone: r.zones[i%len(r.zones)], program: program}
		for _, target := range []*string{&c.httpAddr, &c.peerAddr} {
			addr, err := freePort(r.address(10 + i))
			if err != nil {
				return err
			}
			*target = addr
		}
		c.logPath = filepath.Join(dir, c.name+".log")
		path := filepath.Join(dir, c.name+".toml")
		c.args = []string{"--operator", filepath.Join(dir, "operator.xml"), "--config", path}
		if p.Profile != "" {
			c.args = append(c.args, "--profile", filepath.Join(p.Profile, c.name+".pprof"))
		}
		r.controllers = append(r.controllers, c)
	}
	for _, c := range r.controllers {
		path := filepath.Join(dir, c.name+".toml")
		if err := os.WriteFile(path, []byte(r.settings(p, c)), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// settings are the published settings of a controller.
func (r *region) settings(p *Plan, c *controller) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("member = %q\ndomain = %q\nfront = %q\nback = %q", c.name, c.zone, c.httpAddr, c.peerAddr)
	for _, o := range r.controllers {
		if o != c {
			line("[[members]]\nmember = %q\ndomain = %q\npeer_addr = %q", o.name, o.zone, o.peerAddr)
		}
	}
	line("[outside]\ncloud = %q\nstate = %q", r.cloud.addr, r.state.addr)
	line("[deployment]\nnodes = %d\nzones = [%s]\nclock_off_ms = 5.0", len(r.controllers), quoted(r.zones))
	for _, t := range p.teams() {
		cpus, _ := t.Quota.CPU.Max()
		line(
			"[[deployment.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = 0.0\ngpus_max = 0.0",
			t.Name,
			t.Guarantee.CPU,
			cpus,
		)
	}
	line("[[deployment.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 1.0\nshare = 0.99")
	line("[deployment.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f",
		heartbeatInterval.Seconds(), leaseTime.Seconds(), gangWait.Seconds(), gangPeer.Seconds(), cancelDeadline.Seconds())
	line(
		"[deployment.state]\nrps = %d.0\nwrite_rps = %d.0\nvalue_kb = %d.0\ntxn_ops = %d",
		stateRPS,
		writeRPS,
		valueKB,
		txnOps,
	)
	line("[deployment.cloud]\nrps = %d.0\nlist_lag_s = %f", cloudRPS, listLag.Seconds())
	line(
		"[deployment.machine_limits]\ncores = 1.0\nmem_mb = %d.0\nmax_connections = %d",
		p.controllerMemory(),
		p.maxConnections(),
	)
	return b.String()
}

// controllerMemory is the memory of a controller's machine by its settings, in MB.
func (p *Plan) controllerMemory() int { return max(512, p.Workers/p.Regions/8) }

// quoted lists strings in the form of TOML.
func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// leader finds the controller that leads by the state service's record; nil: none does.
func (r *region) leader() *controller {
	name := r.state.leader()
	for _, c := range r.controllers {
		if c.name == name {
			return c
		}
	}
	return nil
}

// start starts all controllers.
func (r *region) start() error {
	for _, c := range r.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops all controllers at the same time.
func (r *region) stop() {
	var all sync.WaitGroup
	for _, c := range r.controllers {
		all.Go(func() { c.stop(terminate) })
	}
	all.Wait()
}

// preload puts the region's machines on record with the state service, as an earlier leader would have.
func (r *region) preload(machines []model.MachineInfo) {
	for _, machine := range machines {
		r.state.preload(machine)
	}
}

// newFleet makes the stand-in workers of all regions: quotas hold over all of them together.
func newFleet(p *Plan) *fake.Fleet {
	teams := p.teams()
	for i := range teams {
		cpus, _ := teams[i].Quota.CPU.Max()
		teams[i].Quota = model.NewQuota(cpus*float64(p.Regions), 0)
	}
	f := fake.NewFleet(time.Now(), teams)
	f.Tick, f.FetchTime, f.RunTime, f.Lease = pollWorkersInterval, fetchTime, meanTaskTime, leaseTime
	f.HeartbeatInterval, f.GangWait, f.CancelDeadline = heartbeatInterval, gangWait, cancelDeadline
	return f
}
