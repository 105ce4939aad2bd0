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

// controller is a controller under test, which runs as a process of its own. It can be stopped and started again.
type controller struct {
	name, zone         string
	httpAddr, peerAddr string   // host:port for workers and users, and for the other controllers
	program            string   // path of the executable
	args               []string // command-line arguments
	logPath            string   // file that receives the standard error output of all its processes

	mu            sync.Mutex    // guards all fields below
	cmd           *exec.Cmd     // latest process; nil before the first start
	ended         chan struct{} // closed when the latest process has ended
	stopRequested bool          // stop was called for the latest process
	crashReported bool          // a crash of the controller was reported
}

// start starts the controller's process.
func (c *controller) start() error {
	logFile, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own file descriptor
	cmd, ended := exec.Command(c.program, c.args...), make(chan struct{})
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process must not outlive this one
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start controller %s: %w", c.name, err)
	}
	go func() {
		_ = cmd.Wait() // the exit status is irrelevant: an exit without stop is a crash
		close(ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cmd, c.ended, c.stopRequested = cmd, ended, false
	return nil
}

// stop sends the process a signal and waits until it has ended. If it is still running after stopTimeout, it is
// killed. A controller that was never started is ignored.
func (c *controller) stop(signal syscall.Signal) {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.stopRequested = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(signal) // fails if the process has already ended
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // fails if the process has just ended
		<-ended
	}
}

const stopTimeout = 5 * time.Second // from the signal until the process is killed

// processStatus returns the process ID, and whether the process has ended although stop was not called. The
// controller must have been started.
func (c *controller) processStatus() (pid int, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
		return c.cmd.Process.Pid, !c.stopRequested
	default:
		return c.cmd.Process.Pid, false
	}
}

// markCrashReported reports whether it is the first call, so that a crash is counted once.
func (c *controller) markCrashReported() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.crashReported
	c.crashReported = true
	return first
}

// processUsage is the resource usage of a process.
type processUsage struct {
	cpu        time.Duration // user and system time since the process started
	residentMB float64       // resident memory
	openFiles  int           // open file descriptors, sockets included
}

// clockTicksPerSecond is the unit of CPU times in /proc, USER_HZ, which is 100 on all common Linux platforms.
const clockTicksPerSecond = 100

// readProcessUsage reads the resource usage of a process from /proc. It fails if the process has ended.
func readProcessUsage(pid int) (processUsage, error) {
	var u processUsage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	// The program's name in field 2 may contain any character, but the last closing parenthesis ends it. The fields
	// after it begin with field 3: user time is field 14, system time field 15, and the resident set size field 24.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return u, fmt.Errorf("%s/stat: too few fields after the program's name", dir)
	}
	userTicks, _ := strconv.Atoi(fields[11])
	systemTicks, _ := strconv.Atoi(fields[12])
	residentPages, _ := strconv.Atoi(fields[21])
	u.cpu = time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond
	u.residentMB = float64(residentPages) * float64(os.Getpagesize()) / (1 << 20)
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.openFiles = len(files)
	return u, err
}

// eventLoopHold is the longest time for which one piece of work held a controller's event loop.
type eventLoopHold struct {
	duration time.Duration
	holder   string // the piece of work and, if it handled an event, the type of the event
}

var holdLine = regexp.MustCompile(
	`msg="event loop statistics" .*longest_hold=(\S+) by=("[^"]*"|\S+)(?: event=("[^"]*"|\S+))?`)

// longestHold returns the longest hold of the controller's event loop in its log, beginning at a byte offset. The
// controller logs event loop statistics at intervals, which holdLine matches: the duration of the longest hold, the
// piece of work and the event type. The result is the zero value if the log has no such records.
func (c *controller) longestHold(offset int64) (eventLoopHold, error) {
	var longest eventLoopHold
	f, err := os.Open(c.logPath)
	if err != nil {
		return longest, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	if _, err := f.Seek(offset, 0); err != nil {
		return longest, err
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		match := holdLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		if duration, err := time.ParseDuration(match[1]); err == nil && duration > longest.duration {
			longest = eventLoopHold{duration, strings.TrimSpace(strings.Trim(match[2], `"`) + " " + strings.Trim(match[3], `"`))}
		}
	}
	return longest, lines.Err()
}

// logSize returns the size of the controller's log in bytes, or 0 if the log does not exist.
func (c *controller) logSize() int64 {
	info, err := os.Stat(c.logPath)
	if err != nil {
		return 0
	}
	return info.Size()
}
