package config

import (
	"encoding/xml"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/glentiller/glentiller/internal/golden"
)

// setting is what a part of the program goes by, and the setting that it comes from.
type setting struct {
	name  string
	value any
}

// What is read from the files of deploy, under the names that the files use.
func TestFilesAreReadAsBefore(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "*.xml"))
	if err != nil || len(files) < 9 {
		t.Fatalf("got %d operators' files, %v, want nine or more", len(files), err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			o, err := parseOperator(text)
			if err != nil {
				t.Fatal(err)
			}
			checkOperator(t, filepath.Base(path), o)
		})
	}
	t.Run("every setting", func(t *testing.T) {
		// Each has a value of its own, so that none is taken for another.
		o := &Operator{}
		golden.Fill(o)
		checkOperator(t, "filled.xml", o)
	})
	t.Run("example.toml", func(t *testing.T) {
		p, err := ReadPlatform(filepath.Join("..", "..", "deploy", "example.toml"))
		if err != nil {
			t.Fatal(err)
		}
		checkPlatform(t, "example.toml", p)
	})
	t.Run("every field of the platform", func(t *testing.T) {
		p := &Platform{}
		golden.Fill(p)
		checkPlatform(t, "filled.toml", p)
	})
}

func checkOperator(t *testing.T, name string, o *Operator) {
	t.Helper()
	b, err := xml.MarshalIndent(o, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	got := Operator{}
	if err := xml.Unmarshal(golden.Check(t, name, append(b, '\n')), &got); err != nil {
		t.Fatal(err)
	}
	again, err := xml.MarshalIndent(&got, "", " ")
	if err != nil || string(again) != string(b) {
		t.Errorf("%s: read back as\n%s\n%v, want\n%s", name, again, err, b)
	}
}

func checkPlatform(t *testing.T, name string, p *Platform) {
	t.Helper()
	b, err := toml.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	got := Platform{}
	if err := toml.Unmarshal(golden.Check(t, name, b), &got); err != nil {
		t.Fatal(err)
	}
	again, err := toml.Marshal(&got)
	if err != nil || string(again) != string(b) {
		t.Errorf("%s: read back as\n%s\n%v, want\n%s", name, again, err, b)
	}
}

// What the parts of the program are given: every setting arrives where it did.
func TestSettingsReachTheirParts(t *testing.T) {
	p := &Platform{}
	golden.Fill(p)
	p.Deployment.Workers.Heartbeat, p.Deployment.Workers.Lease, p.Deployment.Workers.Cancel = 2, 12, 32
	p.Deployment.State.StateLimits = StateLimits{RPS: 201, WriteRPS: 81, ValueKB: 9, TxnOps: 13}
	p.Deployment.State.Next = StateLimits{RPS: 101, WriteRPS: 41, ValueKB: 7, TxnOps: 11}
	p.Deployment.Teams = append(
		p.Deployment.Teams,
		team{Name: "vision", CPUs: 64, CPUsMax: 256, GPUs: 1, GPUsMax: 8},
		team{Name: "none"},
	)
	p.Deployment.Objectives = []Objective{
		{Kind: "wait", Class: "a", Within: 30},
		{Kind: "finished", Class: "b", Within: 600},
		{Kind: "deadline", Class: "a", Times: 1.5},
		{Kind: "other", Class: "c", Within: 1},
	}
	filled := &Operator{}
	golden.Fill(filled)
	filled.Votes.Outage = filled.Leadership.Lease * 3
	example, err := ReadPlatform(filepath.Join("..", "..", "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "product.xml"))
	if err != nil {
		t.Fatal(err)
	}
	product, err := parseOperator(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		p    *Platform
		o    *Operator
	}{{"filled", p, filled}, {"product", example, product}} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			for _, s := range settings(c.p, c.o) {
				fmt.Fprintf(&out, "%s: %v\n", s.name, s.value)
			}
			golden.Check(t, "parts-"+c.name+".txt", []byte(out.String()))
		})
	}
	t.Run("switches", func(t *testing.T) {
		// Each switch by itself, since all of them are on above.
		var out strings.Builder
		on := settings(p, filled)
		for _, s := range []struct {
			name string
			at   *bool
		}{
			{"scheduler/preempt-for-guarantees", &filled.Scheduler.PreemptForGuarantees},
			{"scheduler/production-image-first", &filled.Scheduler.ImageFirst},
			{"scheduler/fetch-in-time", &filled.Scheduler.FetchByDeadline},
			{"scheduler/vacate", &filled.Scheduler.Drain},
		} {
			*s.at = false
			for i, off := range settings(p, filled) {
				if was, is := fmt.Sprint(on[i].value), fmt.Sprint(off.value); was != is {
					fmt.Fprintf(&out, "%s off: %s: %s, not %s\n", s.name, off.name, is, was)
				}
			}
			*s.at = true
		}
		golden.Check(t, "parts-switches.txt", []byte(out.String()))
	})
}

func settings(p *Platform, o *Operator) []setting {
	core, administration, records := ReconcilerSettings(p, o), AdminSettings(p, o), StoreLimits(p)
	election, routing, relay := ElectionSettings(p, o), RoutingSettings(p, o), RelaySettings(p, o)
	stale, bounded := StalenessBound(p)
	return []setting{
		{"leader: member", core.Member},
		{"leader: deployment.teams", core.Teams},
		{"leader: deployment.objectives", core.Objectives},
		{"leader: deployment.workers.report_s", core.HeartbeatInterval},
		{"leader: deployment.workers.lease_s", core.WorkerLease},
		{"leader: deployment.workers.gang_wait_s", core.GangWait},
		{"leader: deployment.workers.gang_peer_s", core.GangPeer},
		{"leader: deployment.workers.cancel_s", core.CancelWithin},
		{"leader: deployment.cloud.list_lag_s", core.MachineListLag},
		{"scheduler: scheduler/idle-power", core.Scheduler.IdlePowerFraction},
		{"scheduler: scheduler/overtake", core.Scheduler.PromoteAfter},
		{"scheduler: scheduler/overtake-late", core.Scheduler.PromoteLateAfter},
		{"scheduler: scheduler/preempt-most", core.Scheduler.MaxPreemptions},
		{"scheduler: scheduler/start-most", core.Scheduler.MaxStarts},
		{"scheduler: scheduler/min-run", core.Scheduler.MinRuntime},
		{"scheduler: scheduler/dear", core.Scheduler.ExpensiveFactor},
		{"scheduler: scheduler/production-image-first", core.Scheduler.ImageFirst},
		{"scheduler: scheduler/tight", core.Scheduler.TightSlack},
		{"scheduler: scheduler/fetch-in-time", core.Scheduler.FetchByDeadline},
		{"scheduler: scheduler/vacate", core.Scheduler.Drain},
		{"scheduler: scheduler/begin-within", core.Scheduler.StarvationBound},
		{"scheduler: scheduler/preempt-for-guarantees", core.Scheduler.PreemptForGuarantees},
		{"fleet: fleet/keep-idle", core.Autoscaler.IdleTimeout},
		{"fleet: fleet/keep-boots", core.Autoscaler.IdleBootFactor},
		{"fleet: fleet/least-paid", core.Autoscaler.MinBilledTime},
		{"fleet: fleet/keep-spot", core.Autoscaler.SpotIdleFactor},
		{"fleet: fleet/boot-factor", core.Autoscaler.BootTimeoutFactor},
		{"fleet: fleet/boot-extra", core.Autoscaler.BootTimeoutExtra},
		{"fleet: fleet/refused", core.Autoscaler.RefusalBackoff},
		{"fleet: fleet/soon-boots", core.Autoscaler.LookaheadBoots},
		{"fleet: machines of one request", core.Autoscaler.MaxPerRequest},
		{"leader: workers/lease-margin", core.LeaseMargin},
		{"leader: scheduler/pass", core.PassInterval},
		{"leader: scheduler/flush", core.FlushInterval},
		{"leader: fleet/list", core.MachineListInterval},
		{"leader: fleet/catalog", core.CatalogInterval},
		{"leader: workers/silent-after", core.UnresponsiveAfter},
		{"leader: workers/silent-share", core.MaxUnresponsiveShare},
		{"leader: scheduler/backoff", core.Backoff},
		{"leader: scheduler/backoff-most", core.MaxBackoff},
		{"leader: workers/sick-errors", core.MachineFaultErrors},
		{"leader: workers/direct-hold", core.CommandHoldOff},
		{"leader: scheduler/consolidate", core.ConsolidateInterval},
		{"leader: deployment.state.txn_ops", core.MaxTxnOps},
		{"leader: tasks of a numbered chunk", core.NumberedChunkTasks},
		{"ledger: ledger/settle", core.Ledger.SettleInterval},
		{"ledger: fair-share/half-life", core.Ledger.HalfLife},
		{"ledger: fair-share/gpu-weight", core.Ledger.Settings.Weights.GPU},
		{"ledger: fair-share/memory-weight", core.Ledger.Settings.Weights.Mem},
		{"ledger: bytes of a record", core.Ledger.MaxRecordBytes},
		{"ledger: ledger/keep-hours", core.Ledger.Retention.Hours},
		{"ledger: ledger/keep-days", core.Ledger.Retention.Days},
		{"ledger: fair-share", core.Ledger.FairShare},
		{"ledger: weights of teams", core.Ledger.Weights},
		{"admin: token", string(administration.BearerToken)},
		{"admin: ledger", administration.LedgerEnabled},
		{"admin: fair-share", administration.FairShareEnabled},
		{"admin: fair-share/half-life", administration.HalfLife},
		{"admin: weights of teams", administration.Weights},
		{"admin: requests a second", administration.ReadsPerSecond},
		{"records: deployment.state.value_kb", records.MaxValueBytes},
		{"records: deployment.state.txn_ops", records.MaxChanges},
		{"election: member", election.Member},
		{"election: leadership/lease", election.LeaseDuration},
		{"election: leadership/margin", election.SafetyMargin},
		{"election: leadership/look", election.PollInterval},
		{"election: leadership/retry", election.RetryInterval},
		{"election: length of a promise", election.VoteDuration},
		{"election: promises/outage", election.OutageVoteDuration},
		{"election: members", election.Peers},
		{"election: highest level", election.MaxLevel},
		{"requests: members", routing.OtherMembers},
		{"requests: requests/retries", routing.RetryRatio},
		{"requests: requests/hedge", routing.MinHedgeDelay},
		{"requests: requests/most", routing.MaxConcurrent},
		{"relay: least time between batches", relay.BatchInterval},
		{"relay: heartbeats that wait", relay.MaxQueued},
		{"relay: bytes that wait", relay.MaxQueuedBytes},
		{"relay: batches at once", relay.MaxInFlight},
		{"relay: wait for an answer", relay.HeartbeatTimeout},
		{"relay: pause after no answer", relay.RetryAfter},
		{"cancellations: bounded", bounded},
		{"cancellations: bound for leases", stale.KeepLeases},
		{"cancellations: bound for starts", stale.StartTasks},
	}
}
