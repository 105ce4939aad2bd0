package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Requirements are what a run takes of the machine, estimated before anything is started.
type Requirements struct {
	MemoryMB  int // of all processes, with the kernel's memory for their sockets
	Files     int // of this process
	Processes int
}

// What runs were measured to hold, with a reserve.
const (
	baseMB         = 400 // this process without workers
	workerKB       = 70  // a hollow worker with its sockets
	controllerMB   = 60  // a controller without workers
	leaderKB       = 110 // a leader's state, sockets and buffers for each worker
	ownFiles       = 200 // this process without workers
	filesForEach   = 64  // this process for each controller
	controllerFree = 64  // a controller's files that are not connections
)

// requirements estimates what a plan takes.
func (p *Plan) requirements() Requirements {
	controllers := p.Regions * p.Controllers
	memory := baseMB + controllers*controllerMB + p.Workers*(workerKB+leaderKB)/1024
	// A worker has one connection to a controller. Controllers' direct commands come in on others, of which a
	// leader's budget allows a sixth of its connections.
	files := ownFiles + p.Workers + p.Regions*p.maxConnections()/6 + filesForEach*controllers
	return Requirements{MemoryMB: memory, Files: files, Processes: controllers + 1}
}

// maxConnections is how many connections a controller may hold by its settings.
func (p *Plan) maxConnections() int {
	want := p.Workers/p.Regions*3/2 + 400
	if limit, err := fileLimit(); err == nil {
		want = min(want, limit-controllerFree)
	}
	return want
}

// fileLimit is how many files a process may hold open here. Programs in Go raise their own limit up to this one
// as they start.
func fileLimit() (int, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("the limit of open files: %w", err)
	}
	return int(min(l.Max, 1<<30)), nil
}

// maxProcesses is how many processes a run may start.
const maxProcesses = 200

// Check returns what the machine does not have.
func (n Requirements) Check() error {
	var errs []error
	total, available, err := memory()
	if err != nil {
		return err
	}
	if most := min(total/2, available); n.MemoryMB > most {
		errs = append(
			errs,
			fmt.Errorf(
				"memory: %d MB are needed, and %d MB may be used (half of %d MB, of which %d MB are free)",
				n.MemoryMB,
				most,
				total,
				available,
			),
		)
	}
	files, err := fileLimit()
	if err != nil {
		return err
	}
	if n.Files > files {
		errs = append(errs, fmt.Errorf("open files: %d are needed in this process, and its limit is %d", n.Files, files))
	}
	if n.Processes > maxProcesses {
		errs = append(
			errs,
			fmt.Errorf("processes: %d are needed, and %d are the most that a run starts", n.Processes, maxProcesses),
		)
	}
	return errors.Join(errs...)
}

// memory tells how many MB the machine has, and how many are available.
func memory() (total, available int, err error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "MemTotal:":
			total = kb >> 10
		case "MemAvailable:":
			available = kb >> 10
		}
	}
	if total == 0 || available == 0 {
		return 0, 0, errors.New("/proc/meminfo does not tell how much memory there is")
	}
	return total, available, nil
}
