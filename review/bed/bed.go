// Command bed runs the cases of the second review: it starts the controllers of a small deployment as separate
// processes with the command of the deploy file, and the stand-ins of package wire around them.
package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/bed/internal/wire"
)

// site is a deployment: that of the homework queues with shorter boot times and fewer machines.
type site struct {
	Members        []string
	Zones          []string
	Teams          [][2]any // name, limit in CPUs; the guarantee is half of it
	Report, Lease  float64
	Cancel         float64
	RPS, Writes    float64
	ValueKB        float64
	TxnOps         int
	CloudRPS       float64
	MemMB          float64
	MaxConns       int
	MachinesByZone int
	Breed          func(zones []string) *wire.Breed
}

func homework() site {
	return site{
		Members: []string{"tiller-0", "tiller-1", "tiller-2"}, Zones: []string{"ondangwa", "walvis", "windhoek"},
		Teams:  [][2]any{{"ndapewa-marking", 176.0}, {"tjikuua-content", 144.0}, {"shikongo-ops", 296.0}},
		Report: 2, Lease: 12, Cancel: 32, RPS: 200, Writes: 80, ValueKB: 8, TxnOps: 12, CloudRPS: 2, MemMB: 125, MaxConns: 1200,
		MachinesByZone: 4, Breed: wire.Kudu,
	}
}

// exams is the deployment of the exams board with fewer machines.
func exams() site {
	return site{
		Members: []string{"tiller-0", "tiller-1", "tiller-2"}, Zones: []string{"katima", "keetmanshoop"},
		Teams:  [][2]any{{"naango-scoring", 0.0}, {"amutenya-portal", 0.0}},
		Report: 2.5, Lease: 14, Cancel: 34, RPS: 200, Writes: 80, ValueKB: 16, TxnOps: 24, CloudRPS: 3, MemMB: 98, MaxConns: 1500,
		MachinesByZone: 6, Breed: wire.Mopane,
	}
}

// fleetSite is the large deployment of the homework queues with few machines.
func fleetSite() site {
	s := homework()
	s.Teams = [][2]any{{"ndapewa-marking", 5000.0}, {"tjikuua-content", 4000.0}, {"shikongo-ops", 9000.0}}
	s.Report, s.Lease, s.Cancel, s.RPS, s.Writes, s.CloudRPS, s.MemMB, s.MaxConns = 6, 31, 51, 700, 300, 4, 441, 3995
	return s
}

type bed struct {
	site  site
	root  string
	dir   string
	start time.Time

	state *wire.State
	fleet *wire.Fleet
	users *wire.Users
	audit *wire.Audit

	fronts, backs map[string]string
	mu            sync.Mutex
	procs         map[string]*exec.Cmd
	record        *os.File
	logs          string
	nextID        int
	unusable      bool            // a controller did not start
	old           map[string]bool // controllers that are started with the former version
}

func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

func freeAddr() (string, error) {
	// Below the range from which the system takes the ports of clients, since the controllers listen again later.
	for range 100 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.New("no free port")
}

// newBed starts the stand-ins, not the controllers. The record is written to recordPath.
func newBed(s site, root, recordPath string) (*bed, error) {
	b := &bed{site: s, root: root, start: time.Now(), fronts: map[string]string{}, backs: map[string]string{},
		procs: map[string]*exec.Cmd{}, nextID: 400}
	var err error
	if b.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "bed"); err != nil {
		return nil, err
	}
	for _, m := range s.Members {
		if b.fronts[m], err = freeAddr(); err != nil {
			return nil, err
		}
		if b.backs[m], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	if b.state, err = wire.NewState(s.Members, s.RPS, s.Writes); err != nil {
		return nil, err
	}
	limits := map[string]float64{}
	for _, t := range s.Teams {
		limits[t[0].(string)] = t[1].(float64)
	}
	seconds := func(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
	b.audit = wire.NewAudit(limits, seconds(s.Cancel), b.note)
	b.users = &wire.Users{Audit: b.audit, Note: b.note}
	b.fleet, err = wire.NewFleet(b.fronts, []*wire.Breed{s.Breed(s.Zones)},
		wire.Timings{Report: seconds(s.Report), Lease: seconds(s.Lease), Cancel: seconds(s.Cancel), ListLag: 6 * time.Second},
		s.CloudRPS, b.audit, b.note)
	if err != nil {
		return nil, err
	}
	for _, z := range s.Zones {
		for range s.MachinesByZone {
			b.fleet.Start(z)
		}
	}
	return b, nil
}

func (b *bed) settings(member string) string {
	var t strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&t, format+"\n", args...) }
	zone := func(m string) string {
		for i, other := range b.site.Members {
			if other == m {
				return b.site.Zones[i%len(b.site.Zones)]
			}
		}
		return ""
	}
	p("member = %q\ndomain = %q\nfront = %q\nback = %q", member, zone(member), b.fronts[member], b.backs[member])
	for _, m := range b.site.Members {
		if m != member {
			p("[[members]]\nmember = %q\ndomain = %q\npeer_addr = %q", m, zone(m), b.backs[m])
		}
	}
	p("[outside]\ncloud = %q\nstate = %q", b.fleet.Addr, b.state.Addrs[member])
	p("[deployment]\nnodes = %d\nzones = [\"%s\"]\nclock_off_ms = 5.0", len(b.site.Members), strings.Join(b.site.Zones, "\", \""))
	for _, team := range b.site.Teams {
		p("[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", team[0], team[1].(float64)/2, team[1])
	}
	p("[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %.1f",
		b.site.Report, b.site.Lease, b.site.Cancel)
	p("[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d",
		b.site.RPS, b.site.Writes, b.site.ValueKB, b.site.TxnOps)
	p("[deployment.cloud]\nrps = %.1f\nlist_lag_s = 6.0", b.site.CloudRPS)
	p("[deployment.machine_limits]\ncores = 0.18\nmem_mb = %.1f\nmax_connections = %d", b.site.MemMB, b.site.MaxConns)
	return t.String()
}

// command returns the run line of the deploy file.
func (b *bed) command() ([]string, error) {
	text, err := os.ReadFile(filepath.Join(b.root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(rest), "\"")), nil
		}
	}
	return nil, errors.New("no run line in the deploy file")
}

// startController starts a controller as a process of its own.
func (b *bed) startController(member string) error {
	args, err := b.command()
	if err != nil {
		return err
	}
	path := filepath.Join(b.dir, member+".toml")
	if err := os.WriteFile(path, []byte(b.settings(member)), 0o600); err != nil {
		return err
	}
	logPath := filepath.Join(b.dir, member+".log")
	if b.logs != "" {
		logPath = filepath.Join(b.logs, member+".log")
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	program := os.Getenv("BED_PROGRAM")
	if program == "" {
		program = filepath.Join(b.root, args[0])
	}
	if old := os.Getenv("BED_OLD"); old != "" && b.old[member] {
		program, args = old, []string{old, "--config"}
	}
	cmd := exec.Command(program, append(args[1:], path)...)
	cmd.Dir = b.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level())
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	started := time.Now()
	b.note("controller %s started, former version: %v", member, b.old[member])
	b.mu.Lock()
	b.procs[member] = cmd
	b.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		b.mu.Lock()
		expected := b.procs[member] != cmd
		b.mu.Unlock()
		if !expected && cmd.ProcessState.ExitCode() == 1 && time.Since(started) < 3*time.Second {
			b.note("controller %s did not start: %v", member, err) // its port was taken, for one
			b.mu.Lock()
			b.unusable = true
			b.mu.Unlock()
		} else if !expected {
			b.note("BROKEN crash: controller %s ended by itself: %v", member, err)
			b.mu.Lock()
			b.audit.Broken = append(b.audit.Broken, "crash: "+member)
			b.mu.Unlock()
		}
	}()
	return nil
}

func level() string {
	if l := os.Getenv("BED_LOG"); l != "" {
		return l
	}
	return "info"
}

func (b *bed) startAll() error {
	for _, m := range b.site.Members {
		if err := b.startController(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a controller that this bed has started.
func (b *bed) signal(member string, s syscall.Signal) {
	b.mu.Lock()
	cmd := b.procs[member]
	if s == syscall.SIGKILL {
		delete(b.procs, member)
	}
	b.mu.Unlock()
	if cmd != nil {
		b.note("signal %v to %s", s, member)
		_ = cmd.Process.Signal(s)
	}
}

func (b *bed) close() {
	for _, m := range b.site.Members {
		b.signal(m, syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// anyNode returns a controller that runs, at random.
func (b *bed) anyNode() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for m := range b.procs {
		names = append(names, m)
	}
	if len(names) == 0 {
		return b.site.Members[0]
	}
	return names[rand.Intn(len(names))]
}

func (b *bed) newJob(team, shape string, rows int, cores float64, run time.Duration) *wire.Job {
	b.mu.Lock()
	b.nextID++
	id := fmt.Sprintf("wk-%06d", b.nextID)
	b.mu.Unlock()
	j := &wire.Job{ID: id, Class: "marking-runs", Team: team, Shape: shape, Rank: wire.Standard, Rows: rows, Cores: cores,
		Mem: 4, Image: "img-1", ImageGB: 0.1, Run: run}
	if shape == wire.Service {
		j.Class, j.Rank = "lesson-serve", wire.Critical
	}
	b.fleet.Upload(j)
	return j
}

// submit submits a job as a user does: again after a second, at another controller, for up to 60 s.
func (b *bed) submit(j *wire.Job) bool {
	for begin := time.Now(); time.Since(begin) < 60*time.Second; time.Sleep(time.Second) {
		node := b.anyNode()
		switch b.users.Submit(j, node, b.fronts[node]) {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// withdraw cancels a job as a user does, and returns the state in the answer.
func (b *bed) withdraw(id string) string {
	for begin := time.Now(); time.Since(begin) < 60*time.Second; time.Sleep(time.Second) {
		node := b.anyNode()
		if status, state := b.users.Withdraw(id, node, b.fronts[node]); status == 200 {
			return state
		}
	}
	return ""
}

// fiveControllers is the homework deployment with five controllers in one zone.
func fiveControllers() site {
	s := homework()
	s.Members, s.Zones = []string{"tiller-0", "tiller-1", "tiller-2", "tiller-3", "tiller-4"}, []string{"main-hall"}
	s.MachinesByZone = 12
	return s
}

// waitReady waits until a controller leads and all are healthy.
func (b *bed) waitReady(limit time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		ok := b.state.Leader() != ""
		for _, m := range b.site.Members {
			ok = ok && wire.Healthy(b.fronts[m])
		}
		if ok {
			b.note("all healthy, leader %s", b.state.Leader())
			return true
		}
	}
	return false
}
