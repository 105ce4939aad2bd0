package ledgersim

import (
	"io"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// The pace of the deployment. Heartbeats are rarer and leases longer than in real ones, so that a simulated week takes
// less than a minute.
const (
	tick             = time.Second
	heartbeatSeconds = 15.0
	leaseSeconds     = 90.0
	bootTime         = 30 * time.Second
	gpuBootTime      = 45 * time.Second
	fetchTime        = 5 * time.Second
)

// members is how many controllers there are.
const members = 3

// zones are those of the deployment.
var zones = []string{"a", "b"}

// teams are three with a guarantee, a guest, and one with GPUs.
var teams = []model.Team{
	{Name: "grading", Guarantee: model.Resources{CPU: 64}, Quota: model.NewQuota(160, 0)},
	{Name: "content", Guarantee: model.Resources{CPU: 48}, Quota: model.NewQuota(128, 0)},
	{Name: "ops", Guarantee: model.Resources{CPU: 32}, Quota: model.NewQuota(64, 0)},
	{Name: "guest house", Quota: model.NewQuota(96, 0)},
	{Name: "vision", Guarantee: model.Resources{CPU: 32, GPU: 8}, Quota: model.NewQuota(128, 16)},
}

// newPlatform describes the deployment, with the smallest limits of the state service that any deployment has.
func newPlatform() *config.Platform {
	platform := &config.Platform{Member: "tiller-0"}
	deployment := &platform.Deployment
	deployment.Zones = zones
	workers := &deployment.Workers
	workers.Heartbeat, workers.Lease = heartbeatSeconds, leaseSeconds
	workers.GangWait, workers.GangPeer, workers.Cancel = 120, 30, 240
	state := &deployment.State
	state.RPS, state.WriteRPS, state.ValueKB, state.TxnOps = 150, 42, 2, 4
	deployment.Cloud.ListLag = 5
	return platform
}

// newOperator are the operators' settings: slow elections, and a ledger that folds its segments within days.
func newOperator() *config.Operator {
	operator := config.Defaults()
	operator.Leadership.Lease = config.Duration(20 * time.Second)
	operator.Leadership.PollInterval = config.Duration(10 * time.Second)
	operator.Ledger = &config.Ledger{
		SettleInterval: config.Duration(30 * time.Second),
		KeepHours:      config.Duration(30 * time.Hour),
		KeepDays:       config.Duration(80 * time.Hour),
	}
	return operator
}

// newWorld is the deployment.
func newWorld(platform *config.Platform) *fake.World {
	operator := newOperator()
	settings := config.ReconcilerSettings(platform, operator)
	settings.Teams = teams
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	electionSettings := config.ElectionSettings(platform, operator)
	w := fake.NewWorld(members, settings, electionSettings, config.StoreLimits(platform), log)
	w.Tick, w.BootTime, w.FetchTime = tick, bootTime, fetchTime
	w.State.MaxValueBytes = int(platform.Deployment.State.ValueKB * 1024)
	w.State.MaxOps = platform.Deployment.State.TxnOps
	w.Types = []model.MachineType{
		{
			Name:             "eight",
			Capacity:         model.Resources{CPU: 8, MemGB: 64},
			PricePerHour:     1,
			SpotPricePerHour: 0.3,
			BootTime:         bootTime,
			Zones:            zones,
		},
		{
			Name:             "gpu",
			Capacity:         model.Resources{CPU: 32, GPU: 4, MemGB: 256},
			PricePerHour:     9,
			SpotPricePerHour: 3,
			BootTime:         gpuBootTime,
			Zones:            zones,
		},
	}
	return w
}
