package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// controller is one process of the project, started with the deploy file's `run`.
type controller struct {
	name, zone  string
	front, back string
	workers     *proxy   // workers reach the front through it
	peers       []*proxy // the other controllers reach the back through them, and it reaches them
	state       *proxy
	settings    string
	log         *os.File
	run         []string
	root        string
	cmd         *exec.Cmd
}

func (c *controller) forWorkers() string {
	if c.workers != nil {
		return c.workers.addr
	}
	return c.front
}

// nextPort is the next port that freeAddr tries.
var nextPort = 20000

// freeAddr returns an address that nothing listens on. Only controllers listen on its host, so that nothing takes the
// port before its controller does.
func freeAddr() string {
	for ; nextPort < 21000; nextPort++ {
		addr := fmt.Sprintf("%s:%d", controllerHost, nextPort)
		if l, err := net.Listen("tcp4", addr); err == nil {
			_ = l.Close()
			nextPort++
			return addr
		}
	}
	cannotRun("no free port on %s", controllerHost)
	return ""
}

// runLine returns the words of the deploy file's line `run`.
func runLine(root string) []string {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = \""); ok {
			return strings.Fields(strings.TrimSuffix(rest, "\""))
		}
	}
	cannotRun("the deploy file has no line run")
	return nil
}

func (c *controller) start() {
	args := append(append([]string{}, c.run[1:]...), c.settings)
	c.cmd = exec.Command(c.run[0], args...)
	c.cmd.Dir, c.cmd.Stderr = c.root, c.log
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
}

// kill ends the process without any signal that it could handle.
func (c *controller) kill() {
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
		c.cmd = nil
	}
}

func (c *controller) pause()  { _ = c.cmd.Process.Signal(syscall.SIGSTOP) }
func (c *controller) resume() { _ = c.cmd.Process.Signal(syscall.SIGCONT) }

func (c *controller) healthy() bool {
	status, _ := call("GET", "http://"+c.front+"/healthz", nil, time.Second)
	return status == 200
}

// deployment holds what differs between the settings of the cases.
type deployment struct {
	zones              []string
	teams              string // TOML
	report, lease      float64
	cancel             float64
	rps, writeRPS      float64
	cloudRPS, listLag  float64
	cores, mem         float64
	connections        int
	gangWait, gangPeer float64
	valueKB            float64
	txnOps             int
}

// hangula returns the settings of the site hangula-homework.
func hangula() deployment {
	return deployment{zones: []string{"ondangwa", "walvis", "windhoek"}, teams: `
[[deployment.teams]]
name = "ndapewa-marking"
cpus = 80.0
cpus_max = 176.0
gpus = 0.0
gpus_max = 0.0

[[deployment.teams]]
name = "tjikuua-content"
cpus = 80.0
cpus_max = 144.0
gpus = 0.0
gpus_max = 0.0

[[deployment.teams]]
name = "shikongo-ops"
cpus = 144.0
cpus_max = 296.0
gpus = 0.0
gpus_max = 0.0
`, report: 2, lease: 12, cancel: 32, rps: 200, writeRPS: 80, cloudRPS: 2, listLag: 6, cores: 0.18, mem: 125,
		connections: 1200, gangWait: 50, gangPeer: 8, valueKB: 8, txnOps: 12}
}

// newWorld starts the stand-ins and three controllers.
func newWorld(rec *recorder, d deployment, breeds []breed) *world {
	w := &world{rec: rec, lease: time.Duration(d.lease * float64(time.Second)),
		every: time.Duration(d.report * float64(time.Second)),
		jobs:  map[string]*job{}, done: map[string]bool{}, on: map[string]map[*worker]bool{}, starts: map[string]int{}, gangs: map[string]*gang{}, told: map[string]time.Time{},
		limits: map[string]float64{}, gangWait: time.Duration(d.gangWait * float64(time.Second)),
		cancelS: time.Duration(d.cancel * float64(time.Second))}
	w.state = newStateService(rec)
	w.cloud = newCloud(rec, w, breeds)
	w.cloud.lag = time.Duration(d.listLag * float64(time.Second))
	root := os.Getenv("ROOT")
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("%v", err)
	}
	atExit = append(atExit, func() {
		for _, c := range w.ctl {
			c.kill()
		}
		if keep := os.Getenv("KEEP"); keep == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Fprintln(os.Stderr, "logs are in", dir)
		}
	})
	for i, zone := range []string{"windhoek", "walvis", "ondangwa"} {
		c := &controller{name: fmt.Sprintf("tiller-%d", i), zone: zone, front: freeAddr(), back: freeAddr(),
			run: runLine(root), root: root, settings: filepath.Join(dir, fmt.Sprintf("tiller-%d.toml", i))}
		if c.log, err = os.Create(filepath.Join(dir, c.name+".log")); err != nil {
			cannotRun("%v", err)
		}
		w.ctl = append(w.ctl, c)
	}
	for _, c := range w.ctl {
		c.workers = newProxy(c.front)
		c.state = newProxy(w.state.front(c.name))
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\ndomain = %q\nfront = %q\nback = %q\n\n", c.name, c.zone, c.front, c.back)
		for _, o := range w.ctl {
			if o != c {
				p := newProxy(o.back)
				c.peers, o.peers = append(c.peers, p), append(o.peers, p)
				fmt.Fprintf(&b, "[[members]]\nmember = %q\ndomain = %q\npeer_addr = %q\n\n", o.name, o.zone, p.addr)
			}
		}
		fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n", w.cloud.addr, c.state.addr)
		fmt.Fprintf(&b, "[deployment]\nnodes = 3\nzones = [\"%s\"]\nclock_off_ms = 5.0\n%s\n",
			strings.Join(d.zones, "\", \""), d.teams)
		fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\ncancel_s = %g\n\n",
			d.report, d.lease, d.gangWait, d.gangPeer, d.cancel)
		fmt.Fprintf(&b, "[deployment.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n\n",
			d.rps, d.writeRPS, d.valueKB, d.txnOps)
		fmt.Fprintf(&b, "[deployment.cloud]\nrps = %g\nlist_lag_s = %g\n\n", d.cloudRPS, d.listLag)
		fmt.Fprintf(&b, "[deployment.machine_limits]\ncores = %g\nmem_mb = %g\nmax_connections = %d\n", d.cores, d.mem, d.connections)
		if err := os.WriteFile(c.settings, []byte(b.String()), 0o644); err != nil {
			cannotRun("%v", err)
		}
	}
	return w
}

// startAll starts the controllers and waits until all are healthy and one leads.
func (w *world) startAll() {
	for _, c := range w.ctl {
		c.start()
	}
	w.rec.add("three controllers started")
	if !waitFor(20*time.Second, func() bool {
		for _, c := range w.ctl {
			if !c.healthy() {
				return false
			}
		}
		return w.state.leader() != ""
	}) {
		cannotRun("the controllers did not become healthy")
	}
	w.rec.add("all controllers healthy, %s leads", w.state.leader())
}
