package ledgersim

import (
	"io"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// The timing and the size of the simulated deployment. Heartbeats are less frequent and leases longer than in real
// deployments, so that simulating a week takes less than a minute.
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

	controllerCount = 3
)

// The ledger settings. The retention is short, so that segments are compacted during a simulation of several days.
const (
	settleInterval = 30 * time.Second
	hourRetention  = 30 * time.Hour
	dayRetention   = 80 * time.Hour
)

// The limits of the state service and the cloud. They are the strictest ones of all supported deployments.
const (
	stateRequestsPerSecond        = 150
	stateWritesPerSecond          = 42
	stateValueKB                  = 2
	stateOperationsPerTransaction = 4
	cloudListLagSeconds           = 5
	bytesPerKB                    = 1024
)

// teams are the teams of the deployment: three with guaranteed CPUs, one without a guarantee, and one with guaranteed
// CPUs and GPUs.
var teams = []model.Team{
	{Name: "grading", Guarantee: model.Resources{CPU: 64}, Quota: model.NewQuota(160, 0)},
	{Name: "content", Guarantee: model.Resources{CPU: 48}, Quota: model.NewQuota(128, 0)},
	{Name: "ops", Guarantee: model.Resources{CPU: 32}, Quota: model.NewQuota(64, 0)},
	{Name: "guest house", Quota: model.NewQuota(96, 0)},
	{Name: "vision", Guarantee: model.Resources{CPU: 32, GPU: 8}, Quota: model.NewQuota(128, 16)},
}

// newPlatform returns the platform settings of the deployment.
func newPlatform() *config.Platform {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.HeartbeatSeconds = heartbeatSeconds
	d.Workers.LeaseSeconds = leaseSeconds
	d.Workers.GangWaitSeconds = gangWaitSeconds
	d.Workers.GangPeerSeconds = gangPeerSeconds
	d.Workers.CancelSeconds = cancelSeconds
	d.State.RPS = stateRequestsPerSecond
	d.State.WriteRPS = stateWritesPerSecond
	d.State.ValueKB = stateValueKB
	d.State.TxnOps = stateOperationsPerTransaction
	d.Cloud.ListLagSeconds = cloudListLagSeconds
	return p
}

// newOperator returns the operator settings of the deployment.
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

// newWorld starts the deployment in the in-memory environment.
func newWorld(p *config.Platform) *fake.World {
	o := newOperator()
	settings := config.ReconcilerSettings(p, o)
	settings.Teams = teams
	discardLog := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	w := fake.NewWorld(controllerCount, settings, config.ElectionSettings(p, o), config.StoreLimits(p), discardLog)
	w.Tick, w.BootTime, w.FetchTime = tick, bootTime, fetchTime
	w.State.MaxValueBytes, w.State.MaxOps = stateValueKB*bytesPerKB, stateOperationsPerTransaction
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
