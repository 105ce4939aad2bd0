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

// derivedSetting is a setting that a part of the program receives. Its name consists of the name of the part and, if
// the value comes from a settings file, the setting's name there. The golden files contain these names.
type derivedSetting struct {
	name  string
	value any
}

// The names and values in the settings files must not change. The test reads the files in deploy, and settings with
// all fields set, and compares what was read with golden files that use the names of the settings files.
func TestFilesAreReadAsBefore(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "*.xml"))
	if err != nil || len(files) < 9 {
		t.Fatalf("got %d operators' files and error %v, want nine or more files", len(files), err)
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
		// Each setting has a different value, so that a mix-up of two settings is detected.
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

// checkOperator compares the encoded operators' settings with a golden file, and checks that decoding the file
// gives the same settings.
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
	remarshaled, err := xml.MarshalIndent(&got, "", " ")
	if err != nil || string(remarshaled) != string(b) {
		t.Errorf("%s: read back from the golden file: got\n%s\nand error %v, want\n%s", name, remarshaled, err, b)
	}
}

// checkPlatform compares the encoded platform's settings with a golden file, and checks that decoding the file
// gives the same settings.
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
	remarshaled, err := toml.Marshal(&got)
	if err != nil || string(remarshaled) != string(b) {
		t.Errorf("%s: read back from the golden file: got\n%s\nand error %v, want\n%s", name, remarshaled, err, b)
	}
}

// Every setting must reach the part of the program that it is meant for. The test compares the settings of all
// parts with golden files.
func TestSettingsReachTheirParts(t *testing.T) {
	p := &Platform{}
	golden.Fill(p)
	p.Deployment.Workers.HeartbeatSeconds, p.Deployment.Workers.LeaseSeconds,
		p.Deployment.Workers.CancelSeconds = 2, 12, 32
	p.Deployment.State.StateLimits = StateLimits{RPS: 201, WriteRPS: 81, ValueKB: 9, TxnOps: 13}
	p.Deployment.State.Next = StateLimits{RPS: 101, WriteRPS: 41, ValueKB: 7, TxnOps: 11}
	p.Deployment.Teams = append(
		p.Deployment.Teams,
		team{Name: "vision", CPUs: 64, CPUsMax: 256, GPUs: 1, GPUsMax: 8},
		team{Name: "none"},
	)
	p.Deployment.Objectives = []Objective{
		{Kind: "wait", Class: "a", WithinSeconds: 30},
		{Kind: "finished", Class: "b", WithinSeconds: 600},
		{Kind: "deadline", Class: "a", DeadlineMultiple: 1.5},
		{Kind: "other", Class: "c", WithinSeconds: 1},
	}
	filled := &Operator{}
	golden.Fill(filled)
	filled.Votes.OutageVoteDuration = filled.Leadership.Lease * 3
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
	for _, test := range []struct {
		name string
		p    *Platform
		o    *Operator
	}{{"filled", p, filled}, {"product", example, product}} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			for _, s := range derivedSettings(test.p, test.o) {
				fmt.Fprintf(&out, "%s: %v\n", s.name, s.value)
			}
			golden.Check(t, "parts-"+test.name+".txt", []byte(out.String()))
		})
	}
	t.Run("switches", func(t *testing.T) {
		// All boolean settings are true above, so they are set to false one at a time.
		var out strings.Builder
		on := derivedSettings(p, filled)
		for _, s := range []struct {
			name    string
			enabled *bool
		}{
			{"scheduler/preempt-for-guarantees", &filled.Scheduler.PreemptForGuarantees},
			{"scheduler/production-image-first", &filled.Scheduler.ImageFirst},
			{"scheduler/fetch-in-time", &filled.Scheduler.FetchByDeadline},
			{"scheduler/vacate", &filled.Scheduler.Drain},
		} {
			*s.enabled = false
			for i, off := range derivedSettings(p, filled) {
				if before, after := fmt.Sprint(on[i].value), fmt.Sprint(off.value); before != after {
					fmt.Fprintf(&out, "%s off: %s: %s, not %s\n", s.name, off.name, after, before)
				}
			}
			*s.enabled = true
		}
		golden.Check(t, "parts-switches.txt", []byte(out.String()))
	})
}

// derivedSettings returns the settings of all parts of the program. The optional sections of o must be present.
func derivedSettings(p *Platform, o *Operator) []derivedSetting {
	reconciler, admin, storeLimits := ReconcilerSettings(p, o), AdminSettings(p, o), StoreLimits(p)
	election, routing, relay := ElectionSettings(p, o), RoutingSettings(p, o), RelaySettings(p, o)
	staleness, bounded := StalenessBound(p)
	return []derivedSetting{
		{"leader: member", reconciler.Member},
		{"leader: deployment.teams", reconciler.Teams},
		{"leader: deployment.objectives", reconciler.Objectives},
		{"leader: deployment.workers.report_s", reconciler.HeartbeatInterval},
		{"leader: deployment.workers.lease_s", reconciler.WorkerLease},
		{"leader: deployment.workers.gang_wait_s", reconciler.GangWait},
		{"leader: deployment.workers.gang_peer_s", reconciler.GangPeer},
		{"leader: deployment.workers.cancel_s", reconciler.CancelWithin},
		{"leader: deployment.cloud.list_lag_s", reconciler.MachineListLag},
		{"scheduler: scheduler/idle-power", reconciler.Scheduler.IdlePowerFraction},
		{"scheduler: scheduler/overtake", reconciler.Scheduler.PromoteAfter},
		{"scheduler: scheduler/overtake-late", reconciler.Scheduler.PromoteDeadlineAfter},
		{"scheduler: scheduler/preempt-most", reconciler.Scheduler.MaxPreemptions},
		{"scheduler: scheduler/start-most", reconciler.Scheduler.MaxStarts},
		{"scheduler: scheduler/min-run", reconciler.Scheduler.MinRuntime},
		{"scheduler: scheduler/dear", reconciler.Scheduler.ExpensiveFactor},
		{"scheduler: scheduler/production-image-first", reconciler.Scheduler.ImageFirst},
		{"scheduler: scheduler/tight", reconciler.Scheduler.TightSlack},
		{"scheduler: scheduler/fetch-in-time", reconciler.Scheduler.FetchByDeadline},
		{"scheduler: scheduler/vacate", reconciler.Scheduler.Drain},
		{"scheduler: scheduler/begin-within", reconciler.Scheduler.StarvationBound},
		{"scheduler: scheduler/preempt-for-guarantees", reconciler.Scheduler.PreemptForGuarantees},
		{"fleet: fleet/keep-idle", reconciler.Autoscaler.IdleTimeout},
		{"fleet: fleet/keep-boots", reconciler.Autoscaler.IdleBootFactor},
		{"fleet: fleet/least-paid", reconciler.Autoscaler.MinBilledTime},
		{"fleet: fleet/keep-spot", reconciler.Autoscaler.SpotIdleFactor},
		{"fleet: fleet/boot-factor", reconciler.Autoscaler.BootTimeoutFactor},
		{"fleet: fleet/boot-extra", reconciler.Autoscaler.BootTimeoutExtra},
		{"fleet: fleet/refused", reconciler.Autoscaler.RefusalBackoff},
		{"fleet: fleet/soon-boots", reconciler.Autoscaler.LookaheadBootTimes},
		{"fleet: machines of one request", reconciler.Autoscaler.MaxPerRequest},
		{"leader: workers/lease-margin", reconciler.LeaseMargin},
		{"leader: scheduler/pass", reconciler.PassInterval},
		{"leader: scheduler/flush", reconciler.FlushInterval},
		{"leader: fleet/list", reconciler.MachineListInterval},
		{"leader: fleet/catalog", reconciler.CatalogInterval},
		{"leader: workers/silent-after", reconciler.UnresponsiveAfter},
		{"leader: workers/silent-share", reconciler.MaxUnresponsiveShare},
		{"leader: scheduler/backoff", reconciler.Backoff},
		{"leader: scheduler/backoff-most", reconciler.MaxBackoff},
		{"leader: workers/sick-errors", reconciler.MachineFaultErrors},
		{"leader: workers/direct-hold", reconciler.CommandHoldOff},
		{"leader: scheduler/consolidate", reconciler.ConsolidateInterval},
		{"leader: deployment.state.txn_ops", reconciler.MaxTxnOps},
		{"leader: tasks of a numbered chunk", reconciler.NumberedChunkTasks},
		{"ledger: ledger/settle", reconciler.Ledger.SettleInterval},
		{"ledger: fair-share/half-life", reconciler.Ledger.HalfLife},
		{"ledger: fair-share/gpu-weight", reconciler.Ledger.Settings.Weights.GPU},
		{"ledger: fair-share/memory-weight", reconciler.Ledger.Settings.Weights.Mem},
		{"ledger: bytes of a record", reconciler.Ledger.MaxRecordBytes},
		{"ledger: ledger/keep-hours", reconciler.Ledger.Retention.Hours},
		{"ledger: ledger/keep-days", reconciler.Ledger.Retention.Days},
		{"ledger: fair-share", reconciler.Ledger.FairShare},
		{"ledger: weights of teams", reconciler.Ledger.Weights},
		{"admin: token", string(admin.BearerToken)},
		{"admin: ledger", admin.LedgerEnabled},
		{"admin: fair-share", admin.FairShareEnabled},
		{"admin: fair-share/half-life", admin.HalfLife},
		{"admin: weights of teams", admin.Weights},
		{"admin: requests a second", admin.ReadsPerSecond},
		{"records: deployment.state.value_kb", storeLimits.MaxValueBytes},
		{"records: deployment.state.txn_ops", storeLimits.MaxChanges},
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
		{"cancellations: bound for leases", staleness.RenewLeases},
		{"cancellations: bound for starts", staleness.StartTasks},
	}
}
