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

// workers are the hollow workers of all regions with their sockets. Package fake simulates what happens on a machine;
// here its heartbeats leave, and answers and direct commands arrive.
type workers struct {
	listener net.Listener
	http     *fasthttp.Server
	port     int
	mutation Mutation
	traffic  *traffic

	mu         sync.Mutex // guards all below, and every hollowWorker; it is never held over a socket
	fleet      *fake.Fleet
	random     *rand.Rand
	byName     map[string]*hollowWorker
	byIP       map[string]*hollowWorker
	byRegion   map[*region]map[string]*hollowWorker
	hosts      int // addresses given out
	counts     workerCounts
	roundTrips *hdrhistogram.Histogram // of heartbeats, in microseconds
}

// workerCounts are what heartbeats and direct commands have led to.
type workerCounts struct {
	Heartbeats      int `json:"reports"`   // answered with 200
	Redirects       int `json:"redirects"` // answered with 421
	Refused         int `json:"refused"`   // answered otherwise
	Failed          int `json:"failed"`    // not answered, or not connected
	Late            int `json:"late"`      // not answered within heartbeatTimeout
	Commands        int `json:"commands"`  // direct commands
	CommandsRefused int `json:"refusals"`  // of these, refused
	Dials           int `json:"dials"`
}

// hollowWorker is one worker with its socket.
type hollowWorker struct {
	worker          *fake.Worker
	region          *region
	ip              string
	conn            net.Conn // owned by the exchange under way, if there is one
	busy            bool     // an exchange is under way
	removed         bool
	controllerIndex int // the controller of the region that it reports to
}

// listed is the machine as the cloud lists it.
func (h *hollowWorker) listed() model.MachineInfo {
	return model.MachineInfo{
		Name: h.worker.Name,
		Addr: h.worker.Addr,
		Type: h.worker.Type,
		Zone: h.worker.Zone,
		Spot: h.worker.Spot,
	}
}

const (
	pollWorkersInterval = 50 * time.Millisecond // between two looks at what is due on the workers
	pollBatchSize       = 512                   // workers that are looked at while the lock is held
	firstHostOctet      = 64                    // workers have the addresses from 127.64.0.1 on
	maxRoundTrip        = int64(10 * time.Second / time.Microsecond)
)

// newWorkers opens the workers' listener: one for all of them, told apart by the address that is connected to.
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
	if w.http, w.listener, err = serveLoopback("0.0.0.0:0", w.handle); err != nil {
		return nil, err
	}
	w.port = w.listener.Addr().(*net.TCPAddr).Port
	return w, nil
}

func newRoundTripHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRoundTrip, 3) }

func (w *workers) close() error { return w.http.Shutdown() }

// add brings a machine up. The lock is held.
func (w *workers) add(region *region, machine model.MachineInfo) *hollowWorker {
	if machine.Addr == "" {
		machine.Addr = w.nextAddress()
	}
	host, _, _ := net.SplitHostPort(machine.Addr) // it is one of nextAddress
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

// nextAddress gives the next worker's address.
func (w *workers) nextAddress() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d:%d", firstHostOctet+w.hosts>>16, w.hosts>>8&255, w.hosts&255, w.port)
}

// remove ends a machine. The lock is held.
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

// count counts a region's machines that are up. The lock is held.
func (w *workers) count(region *region) int { return len(w.byRegion[region]) }

// release ends machines that their region releases.
func (w *workers) release(region *region, c *fake.Cloud, names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		c.Forget(name)
		if h := w.byRegion[region][name]; h != nil {
			w.remove(h)
		}
	}
}

// run lets time pass on the workers until the context ends.
func (w *workers) run(ctx context.Context, regions []*region) {
	every := time.NewTicker(pollWorkersInterval)
	defer every.Stop()
	for ctx.Err() == nil {
		w.sendDueHeartbeats(ctx, regions)
		select {
		case <-every.C:
		case <-ctx.Done():
		}
	}
}

// sendDueHeartbeats brings up the machines that have booted, and sends the heartbeats that are due.
func (w *workers) sendDueHeartbeats(ctx context.Context, regions []*region) {
	w.mu.Lock()
	all := make([]*hollowWorker, 0, len(w.byName))
	for _, region := range regions {
		for _, machine := range region.cloud.cloud.TakeBooted(time.Now()) {
			machine.Addr = ""
			w.add(region, machine)
		}
	}
	for _, h := range w.byName {
		all = append(all, h)
	}
	w.mu.Unlock()
	for len(all) > 0 {
		batch := min(pollBatchSize, len(all))
		w.mu.Lock()
		w.fleet.SetNow(time.Now())
		for _, h := range all[:batch] {
			if !h.removed && h.worker.Advance() && !h.busy {
				w.startHeartbeat(ctx, h)
			}
		}
		w.mu.Unlock()
		all = all[batch:]
	}
	w.mu.Lock()
	w.fleet.CheckCancelled()
	w.mu.Unlock()
}
