package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Requirements are the estimated resource needs of a run on the machine that it runs on.
type Requirements struct {
	MemoryMB  int // of all processes together, including the kernel's memory for their sockets
	Files     int // open files of this process, which holds the stand-ins and the hollow workers
	Processes int // this process and the controllers
}

// Resource needs of the parts of a run, each with a safety margin.
const (
	baseMB                  = 400 // memory of this process without workers
	hollowWorkerKB          = 70  // memory of one hollow worker with its sockets
	controllerMB            = 60  // memory of one controller without workers
	leaderKBPerWorker       = 110 // memory of a leader per worker: state, sockets and buffers
	baseFiles               = 200 // open files of this process without workers
	filesPerController      = 64  // open files of this process per controller
	reservedControllerFiles = 64  // open files of one controller besides its connections
)

// requirements estimates the resource needs of a run of the plan.
func (p *Plan) requirements() Requirements {
	controllers := p.Regions * p.Controllers
	memoryMB := baseMB + controllers*controllerMB + p.Workers*(hollowWorkerKB+leaderKBPerWorker)/1024
	// Each worker holds one connection to a controller for its heartbeats. Direct commands arrive on further
	// connections, for which a leader uses up to a sixth of the connections that it may hold.
	files := baseFiles + p.Workers + p.Regions*p.maxConnections()/6 + filesPerController*controllers
	return Requirements{MemoryMB: memoryMB, Files: files, Processes: controllers + 1}
}

// maxConnections returns the number of connections that a controller may hold, as set in its settings file. It leaves
// room for reservedControllerFiles below the limit of open files.
func (p *Plan) maxConnections() int {
	connections := p.Workers/p.Regions*3/2 + 400
	if limit, err := fileLimit(); err == nil {
		connections = min(connections, limit-reservedControllerFiles)
	}
	return connections
}

// fileLimit returns the hard limit of open files per process. The Go runtime raises the soft limit of a program to
// the hard limit when the program starts.
func fileLimit() (int, error) {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err != nil {
		return 0, fmt.Errorf("read limit of open files: %w", err)
	}
	return int(min(rlimit.Max, 1<<30)), nil
}

// maxProcesses bounds the processes of a run.
const maxProcesses = 200

// Check returns an error that lists every requirement that the machine does not meet, or nil if it meets them all. A
// run may use at most half of the machine's memory, and no more than is available.
func (r Requirements) Check() error {
	var errs []error
	totalMB, availableMB, err := machineMemoryMB()
	if err != nil {
		return err
	}
	if usableMB := min(totalMB/2, availableMB); r.MemoryMB > usableMB {
		errs = append(
			errs,
			fmt.Errorf(
				"memory: run needs %d MB, limit is %d MB (the lesser of half of the total %d MB and the available %d MB)",
				r.MemoryMB,
				usableMB,
				totalMB,
				availableMB,
			),
		)
	}
	maxFiles, err := fileLimit()
	if err != nil {
		return err
	}
	if r.Files > maxFiles {
		errs = append(errs, fmt.Errorf("open files: run needs %d in this process, limit is %d", r.Files, maxFiles))
	}
	if r.Processes > maxProcesses {
		errs = append(
			errs,
			fmt.Errorf("processes: run needs %d, limit is %d", r.Processes, maxProcesses),
		)
	}
	return errors.Join(errs...)
}

// machineMemoryMB returns the machine's total and available memory, in MB.
func machineMemoryMB() (totalMB, availableMB int, err error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "MemTotal:":
			totalMB = kb >> 10
		case "MemAvailable:":
			availableMB = kb >> 10
		}
	}
	if totalMB == 0 || availableMB == 0 {
		return 0, 0, errors.New("/proc/meminfo: no valid MemTotal or no valid MemAvailable")
	}
	return totalMB, availableMB, nil
}
