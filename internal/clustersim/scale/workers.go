package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// workers holds the hollow workers of all regions. Package fake simulates the machines and the workers' side of the
// protocol; this type carries heartbeats, their responses and direct commands over sockets.
type workers struct {
	listener net.Listener
	http     *fasthttp.Server
	port     int
	mutation Mutation
	traffic  *traffic

	mu                sync.Mutex // guards all fields below and every hollowWorker; never held during network I/O
	fleet             *fake.Fleet
	random            *rand.Rand
	byName            map[string]*hollowWorker
	byIP              map[string]*hollowWorker
	byRegion          map[*region]map[string]*hollowWorker // by region and name
	assignedAddresses int                                  // number of addresses that nextAddress has assigned
	counts            workerCounts
	roundTrips        *hdrhistogram.Histogram // of answered heartbeats, in microseconds
}

// workerCounts counts the outcomes of heartbeats and direct commands.
type workerCounts struct {
	Heartbeats      int `json:"reports"`   // heartbeats answered with 200
	Redirects       int `json:"redirects"` // heartbeats answered with 421, which names the leader
	Refused         int `json:"refused"`   // heartbeats answered with another status
	Failed          int `json:"failed"`    // heartbeats without a valid answer, failed connections included
	Late            int `json:"late"`      // failed heartbeats that timed out after heartbeatTimeout
	Commands        int `json:"commands"`  // requests with direct commands
	CommandsRefused int `json:"refusals"`  // direct commands refused for their fencing token or epoch
	Dials           int `json:"dials"`     // attempts to connect to a controller
}

// hollowWorker is a worker with its connection to a controller.
type hollowWorker struct {
	worker          *fake.Worker
	region          *region
	ip              string
	conn            net.Conn // nil if closed; owned by the exchange while busy is set
	busy            bool     // a heartbeat is being exchanged
	removed         bool     // the machine was terminated
	controllerIndex int      // index, in region.controllers, of the controller that gets its heartbeats
}

// machineInfo returns the worker's machine as the cloud lists it. The caller holds workers.mu.
func (h *hollowWorker) machineInfo() model.MachineInfo {
	return model.MachineInfo{
		Name: h.worker.Name,
		Addr: h.worker.Addr,
		Type: h.worker.Type,
		Zone: h.worker.Zone,
		Spot: h.worker.Spot,
	}
}

const (
	pollWorkersInterval = 50 * time.Millisecond // between two polls of all workers for due heartbeats
	pollBatchSize       = 512                   // workers that are polled before the lock is released
	baseSecondOctet     = 64                    // second octet of the first address, 127.64.0.1
	maxRoundTrip        = int64(10 * time.Second / time.Microsecond)
)

// newWorkers starts the HTTP server of the workers, of which there are none yet. All workers share one listener; the
// local address of a connection identifies the worker.
func newWorkers(p *Plan) (*workers, error) {
	w := &workers{
		mutation:   p.Mutation,
		traffic:    newTraffic(),
		fleet:      newFleet(p),
		random:     rand.New(rand.NewPCG(p.Seed, workerStream)),
		byName:     map[string]*hollowWorker{},
		byIP:       map[string]*hollowWorker{},
		byRegion:   map[*region]map[string]*hollowWorker{},
		roundTrips: newRoundTripHistogram(),
	}
	w.fleet.HeartbeatJitter = func() float64 { return 0.75 + 0.5*w.random.Float64() }
	w.fleet.RunTimeOf = func(id model.TaskID) time.Duration {
		return time.Duration((0.5 + w.random.Float64()) * float64(meanTaskTime))
	}
	var err error
	if w.http, w.listener, err = startHTTPServer("0.0.0.0:0", w.handle); err != nil {
		return nil, err
	}
	w.port = w.listener.Addr().(*net.TCPAddr).Port
	return w, nil
}

// newRoundTripHistogram returns a histogram of round trips in microseconds. Longer ones than maxRoundTrip are
// recorded as maxRoundTrip.
func newRoundTripHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRoundTrip, 3) }

func (w *workers) close() error { return w.http.Shutdown() }

// add brings up a machine with a new worker, which sends its first heartbeat to a random controller of the region
// after up to one heartbeat interval. It assigns an address unless the machine has one. The caller holds w.mu.
func (w *workers) add(region *region, machine model.MachineInfo) *hollowWorker {
	if machine.Addr == "" {
		machine.Addr = w.nextAddress()
	}
	host, _, _ := net.SplitHostPort(machine.Addr) // valid, since it comes from nextAddress
	h := &hollowWorker{
		worker:          w.fleet.Add(machine),
		region:          region,
		ip:              host,
		controllerIndex: w.random.IntN(len(region.controllers)),
	}
	h.worker.Retry(time.Duration(w.random.Float64() * float64(heartbeatInterval)))
	w.byName[machine.Name], w.byIP[host] = h, h
	if w.byRegion[region] == nil {
		w.byRegion[region] = map[string]*hollowWorker{}
	}
	w.byRegion[region][machine.Name] = h
	return h
}

// nextAddress assigns the address of a new worker: a loopback address of its own with the port of the listener. The
// caller holds w.mu.
func (w *workers) nextAddress() string {
	w.assignedAddresses++
	return fmt.Sprintf(
		"127.%d.%d.%d:%d",
		baseSecondOctet+w.assignedAddresses>>16,
		w.assignedAddresses>>8&255,
		w.assignedAddresses&255,
		w.port,
	)
}

// remove terminates a machine and its tasks. The caller holds w.mu.
func (w *workers) remove(h *hollowWorker) {
	h.removed = true
	w.fleet.Remove(h.worker.Name)
	delete(w.byName, h.worker.Name)
	delete(w.byIP, h.ip)
	delete(w.byRegion[h.region], h.worker.Name)
	if !h.busy {
		h.closeConn()
	}
}

// count returns the number of a region's machines that are up. The caller holds w.mu.
func (w *workers) count(region *region) int { return len(w.byRegion[region]) }

// release terminates machines of a region that its leader has released. It ignores unknown names.
func (w *workers) release(region *region, c *fake.Cloud, names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		c.RemoveBooting(name)
		if h := w.byRegion[region][name]; h != nil {
			w.remove(h)
		}
	}
}

// run polls the workers every pollWorkersInterval until the context is done.
func (w *workers) run(ctx context.Context, regions []*region) {
	ticker := time.NewTicker(pollWorkersInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.sendDueHeartbeats(ctx, regions)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendDueHeartbeats brings up the machines that have booted, advances all workers to the present time and starts the
// heartbeats that are due. It releases w.mu between batches, so that answers and commands are not delayed. At the end
// it checks that cancelled jobs have left the machines in time.
func (w *workers) sendDueHeartbeats(ctx context.Context, regions []*region) {
	w.mu.Lock()
	polled := make([]*hollowWorker, 0, len(w.byName))
	for _, region := range regions {
		for _, machine := range region.cloud.cloud.TakeBooted(time.Now()) {
			machine.Addr = ""
			w.add(region, machine)
		}
	}
	for _, h := range w.byName {
		polled = append(polled, h)
	}
	w.mu.Unlock()
	for len(polled) > 0 {
		batchSize := min(pollBatchSize, len(polled))
		w.mu.Lock()
		w.fleet.SetNow(time.Now())
		for _, h := range polled[:batchSize] {
			if !h.removed && h.worker.Advance() && !h.busy {
				w.startHeartbeat(ctx, h)
			}
		}
		w.mu.Unlock()
		polled = polled[batchSize:]
	}
	w.mu.Lock()
	w.fleet.CheckCancelled()
	w.mu.Unlock()
}
