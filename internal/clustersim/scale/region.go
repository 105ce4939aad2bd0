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

// region is an independent deployment with its own state service, cloud and controllers.
type region struct {
	name        string
	index       int // position in run.regions
	zones       []string
	state       *stateServer
	cloud       *cloudServer
	controllers []*controller
	clients     []*userClient // one per controller, in the same order
}

// newRegion starts a region's stand-ins for the state service and the cloud, and writes the settings files of its
// controllers to dir. It does not start the controllers. program is the path of their executable.
func newRegion(p *Plan, index int, dir, program string, workers *workers) (*region, error) {
	r := &region{name: fmt.Sprintf("region-%d", index), index: index}
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

// address returns a loopback address of the region with port 0, on which a listener gets a free port. host is the
// last octet: 1 for the state service, 2 for the cloud, and 10 and above for the controllers.
func (r *region) address(host int) string { return fmt.Sprintf("127.1.%d.%d:0", r.index+1, host) }

// close stops the region's stand-ins.
func (r *region) close() { _ = errors.Join(r.state.close(), r.cloud.close()) }

// freePort returns the address with a port that is free at the moment. Another process may take the port before it is
// used.
func freePort(addr string) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // the listener has served its purpose, which was to find the port
	return l.Addr().String(), nil
}

// writeSettings sets r.controllers and writes the settings file of each controller. The addresses of all controllers
// have to be known first, since each file lists the other members.
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

// settings returns the content of a controller's settings file, in TOML.
func (r *region) settings(p *Plan, c *controller) string {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	writeLine("member = %q\ndomain = %q\nfront = %q\nback = %q", c.name, c.zone, c.httpAddr, c.peerAddr)
	for _, other := range r.controllers {
		if other != c {
			writeLine("[[members]]\nmember = %q\ndomain = %q\npeer_addr = %q", other.name, other.zone, other.peerAddr)
		}
	}
	writeLine("[outside]\ncloud = %q\nstate = %q", r.cloud.addr, r.state.addr)
	writeLine("[deployment]\nnodes = %d\nzones = [%s]\nclock_off_ms = 5.0", len(r.controllers), quoteList(r.zones))
	for _, team := range p.teams() {
		cpus, _ := team.Quota.CPU.Max()
		writeLine(
			"[[deployment.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = 0.0\ngpus_max = 0.0",
			team.Name,
			team.Guarantee.CPU,
			cpus,
		)
	}
	writeLine("[[deployment.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 1.0\nshare = 0.99")
	writeLine("[deployment.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f",
		heartbeatInterval.Seconds(), leaseTime.Seconds(), gangWait.Seconds(), gangPeer.Seconds(), cancelDeadline.Seconds())
	writeLine(
		"[deployment.state]\nrps = %d.0\nwrite_rps = %d.0\nvalue_kb = %d.0\ntxn_ops = %d",
		stateRPS,
		stateWriteRPS,
		stateValueKB,
		stateTxnOps,
	)
	writeLine("[deployment.cloud]\nrps = %d.0\nlist_lag_s = %f", cloudRPS, listLag.Seconds())
	writeLine(
		"[deployment.machine_limits]\ncores = 1.0\nmem_mb = %d.0\nmax_connections = %d",
		p.controllerMemoryMB(),
		p.maxConnections(),
	)
	return b.String()
}

// controllerMemoryMB returns the memory of a controller's machine, as set in its settings file.
func (p *Plan) controllerMemoryMB() int { return max(512, p.Workers/p.Regions/8) }

// quoteList returns the elements of a TOML array of strings, without the brackets.
func quoteList(values []string) string {
	out := make([]string, len(values))
	for i, s := range values {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// leader returns the controller that holds the leader lease according to the state service, or nil if none does.
func (r *region) leader() *controller {
	name := r.state.leader()
	for _, c := range r.controllers {
		if c.name == name {
			return c
		}
	}
	return nil
}

// start starts all controllers. It stops at the first one that cannot be started.
func (r *region) start() error {
	for _, c := range r.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops all controllers concurrently and waits until they have ended.
func (r *region) stop() {
	var group sync.WaitGroup
	for _, c := range r.controllers {
		group.Go(func() { c.stop(shutdownSignal) })
	}
	group.Wait()
}

// preload stores the records of the region's machines in the state service, as if an earlier leader had provisioned
// them.
func (r *region) preload(machines []model.MachineInfo) {
	for _, machine := range machines {
		r.state.preload(machine)
	}
}

// newFleet returns a fleet without workers. It checks the invariants for the workers of all regions together, and so
// a team's quota is the sum of its quotas in the regions.
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
