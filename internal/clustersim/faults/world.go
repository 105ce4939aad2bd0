package faults

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

const (
	machineType                  = "eight"
	machineCPUs                  = 8
	machineMemoryGB              = 64
	bootTime                     = 20 * second
	outageVoteDuration           = 10 * second
	starvationBound              = 240 * second
	retainedHeartbeatsPerMachine = 40 // heartbeats that the network keeps for replays
)

// newWorld starts a deployment with the given numbers of controllers and machines, two zones and two teams. Each team
// is guaranteed a quarter of the initial CPUs. Team red has a quota of three quarters of them; team blue has no quota.
// The cloud can provide a quarter more machines than there are at the start.
func newWorld(controllers, machines int) *fake.World {
	platform := &config.Platform{Member: "tiller-0"}
	deployment := &platform.Deployment
	deployment.Zones = []string{"a", "b"}
	workers := &deployment.Workers
	workers.HeartbeatSeconds, workers.LeaseSeconds, workers.GangWaitSeconds, workers.GangPeerSeconds,
		workers.CancelSeconds = 2.5, 14, 35, 5, 34
	deployment.State.ValueKB, deployment.State.TxnOps, deployment.Cloud.ListLagSeconds = 8, 12, 6
	operator := config.Defaults()
	operator.Scheduler.StarvationBound = config.Duration(starvationBound)
	operator.Votes = &config.Votes{OutageVoteDuration: config.Duration(outageVoteDuration)}
	settings := config.ReconcilerSettings(platform, operator)
	cpus := machineCPUs * float64(machines)
	guarantee := model.Resources{CPU: cpus / 4}
	settings.Teams = []model.Team{
		{Name: "red", Guarantee: guarantee, Quota: model.NewQuota(cpus*3/4, 0)},
		{Name: "blue", Guarantee: guarantee},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	electionSettings := config.ElectionSettings(platform, operator)
	w := fake.NewWorld(controllers, settings, electionSettings, config.StoreLimits(platform), log)
	w.Tick, w.FetchTime, w.BootTime = tick, second, bootTime
	w.Capacity, w.MaxRetainedMessages = machines*5/4, retainedHeartbeatsPerMachine*machines
	w.Types = []model.MachineType{{
		Name:             machineType,
		Capacity:         model.Resources{CPU: machineCPUs, MemGB: machineMemoryGB},
		PricePerHour:     1,
		SpotPricePerHour: 0.3,
		BootTime:         bootTime,
		Zones:            deployment.Zones,
	}}
	for i := range machines {
		w.AddMachine(model.MachineInfo{
			Name: fmt.Sprintf("m-%06d", i),
			Type: machineType,
			Zone: deployment.Zones[i%len(deployment.Zones)],
		})
	}
	return w
}
