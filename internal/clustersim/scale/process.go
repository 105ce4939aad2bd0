package scale

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// controller is one process of the built program.
type controller struct {
	name, zone         string
	httpAddr, peerAddr string
	program            string
	args               []string
	logPath            string

	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
	stopRequested bool // this run has asked the process to stop
	crashReported bool // a crash was counted
}

// start starts the process.
func (c *controller) start() error {
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	cmd, ended := exec.Command(c.program, c.args...), make(chan struct{})
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this run
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("controller %s: %w", c.name, err)
	}
	go func() {
		_ = cmd.Wait() // how it ended does not matter, but whether it was asked to
		close(ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cmd, c.ended, c.stopRequested = cmd, ended, false
	return nil
}

// stop sends the process a signal, and kills it if it does not end soon.
func (c *controller) stop(signal syscall.Signal) {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.stopRequested = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(signal) // it may have ended by itself
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // as above
		<-ended
	}
}

const stopTimeout = 5 * time.Second

// process is the process's number, and whether it has ended without being asked to.
func (c *controller) process() (pid int, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
		return c.cmd.Process.Pid, !c.stopRequested
	default:
		return c.cmd.Process.Pid, false
	}
}

// reportCrash is true once.
func (c *controller) reportCrash() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.crashReported
	c.crashReported = true
	return first
}

// usage is what a process has used and holds.
type usage struct {
	cpu     time.Duration // since its start
	mb      float64
	sockets int
}

// clockTicks is how many units of processor time Linux counts in a second.
const clockTicks = 100

// usageOf reads what a process has used and holds.
func usageOf(pid int) (usage, error) {
	var u usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	// The name, which may hold anything, ends with the last bracket; user and system time are fields 14 and 15.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return u, fmt.Errorf("%s/stat is not understood", dir)
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	u.mb = float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.sockets = len(files)
	return u, err
}

// hold is what held a controller's event loop longest, by one of its log lines.
type hold struct {
	took time.Duration
	by   string
}

var holdLine = regexp.MustCompile(
	`msg="event loop statistics" .*longest_hold=(\S+) by=("[^"]*"|\S+)(?: event=("[^"]*"|\S+))?`)

// longestHold reads what held a controller's event loop longest from an offset in its log on.
func (c *controller) longestHold(from int64) (hold, error) {
	var longest hold
	f, err := os.Open(c.logPath)
	if err != nil {
		return longest, err
	}
	defer func() { _ = f.Close() }() // it was only read
	if _, err := f.Seek(from, 0); err != nil {
		return longest, err
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		m := holdLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		if took, err := time.ParseDuration(m[1]); err == nil && took > longest.took {
			longest = hold{took, strings.TrimSpace(strings.Trim(m[2], `"`) + " " + strings.Trim(m[3], `"`))}
		}
	}
	return longest, lines.Err()
}

// logSize is the size of the controller's log; 0: it has none.
func (c *controller) logSize() int64 {
	info, err := os.Stat(c.logPath)
	if err != nil {
		return 0
	}
	return info.Size()
}
