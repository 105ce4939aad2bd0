package ledgersim

import (
	"io"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// The pace of the stand-ins. Heartbeats are rarer and leases longer than in the deployments, so that a week
// takes less than a minute.
const (
	tick             = time.Second
	heartbeatSeconds = 15.0
	leaseSeconds     = 90.0
	gangWaitSeconds  = 120.0
	gangPeerSeconds  = 30.0
	cancelSeconds    = 240.0

	leaderLease  = 20 * time.Second
	pollInterval = 10 * time.Second
	bootTime     = 30 * time.Second
	fetchTime    = 5 * time.Second

	controllers = 3
)

// The ledger's settings: segments fold while the simulation runs.
const (
	settleInterval = 30 * time.Second
	hourRetention  = 30 * time.Hour
	dayRetention   = 80 * time.Hour
)

// The smallest limits of the state service and the cloud that any deployment has.
const (
	stateRequestsPerSecond = 150
	stateWritesPerSecond   = 42
	stateValueKB           = 2
	stateOperations        = 4 // in one transaction
	cloudListLagSeconds    = 5
	bytesPerKB             = 1024
)

// teams of the deployment: three with a guarantee, one without, and one with GPUs.
var teams = []model.Team{
	{Name: "grading", Guarantee: model.Resources{CPU: 64}, Quota: model.NewQuota(160, 0)},
	{Name: "content", Guarantee: model.Resources{CPU: 48}, Quota: model.NewQuota(128, 0)},
	{Name: "ops", Guarantee: model.Resources{CPU: 32}, Quota: model.NewQuota(64, 0)},
	{Name: "guest house", Quota: model.NewQuota(96, 0)},
	{Name: "vision", Guarantee: model.Resources{CPU: 32, GPU: 8}, Quota: model.NewQuota(128, 16)},
}

// newPlatform returns the platform's settings.
func newPlatform() *config.Platform {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Heartbeat = heartbeatSeconds
	d.Workers.Lease = leaseSeconds
	d.Workers.GangWait = gangWaitSeconds
	d.Workers.GangPeer = gangPeerSeconds
	d.Workers.Cancel = cancelSeconds
	d.State.RPS = stateRequestsPerSecond
	d.State.WriteRPS = stateWritesPerSecond
	d.State.ValueKB = stateValueKB
	d.State.TxnOps = stateOperations
	d.Cloud.ListLag = cloudListLagSeconds
	return p
}

// newOperator returns the operators' settings.
func newOperator() *config.Operator {
	o := config.Defaults()
	o.Leadership.Lease = config.Duration(leaderLease)
	o.Leadership.PollInterval = config.Duration(pollInterval)
	o.Ledger = &config.Ledger{
		SettleInterval: config.Duration(settleInterval),
		KeepHours:      config.Duration(hourRetention),
		KeepDays:       config.Duration(dayRetention),
	}
	return o
}

// newWorld starts the deployment on stand-ins.
func newWorld(p *config.Platform) *fake.World {
	o := newOperator()
	settings := config.ReconcilerSettings(p, o)
	settings.Teams = teams
	silent := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	w := fake.NewWorld(controllers, settings, config.ElectionSettings(p, o), config.StoreLimits(p), silent)
	w.Tick, w.BootTime, w.FetchTime = tick, bootTime, fetchTime
	w.State.MaxValueBytes, w.State.MaxOps = stateValueKB*bytesPerKB, stateOperations
	w.Types = []model.MachineType{
		{
			Name:             "eight",
			Capacity:         model.Resources{CPU: 8, MemGB: 64},
			PricePerHour:     1,
			SpotPricePerHour: 0.3,
			BootTime:         30 * time.Second,
			Zones:            p.Deployment.Zones,
		},
		{
			Name:             "gpu",
			Capacity:         model.Resources{CPU: 32, GPU: 4, MemGB: 256},
			PricePerHour:     9,
			SpotPricePerHour: 3,
			BootTime:         45 * time.Second,
			Zones:            p.Deployment.Zones,
		},
	}
	return w
}
