package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// readSample returns the content of a file in the deploy directory.
func readSample(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestInvalidPlatformSettingIsReported(t *testing.T) {
	good := readSample(t, "example.toml")
	if _, err := ReadPlatform(writeFile(t, "good.toml", good+"\n[new_section]\nx = 1\n")); err != nil {
		t.Fatalf("reading a file with an unknown section: got error %v, want none", err)
	}
	for change, want := range map[string]string{
		"lease_s = 12.0 -> lease_s = 1.0":               "lease_s must be longer than report_s",
		"cpus_max = 256.0 -> cpus_max = 1.0":            "the guarantee exceeds the quota",
		`member = "tiller-1" -> member = "tiller-0"`:    "missing or already used",
		`front = "127.0.0.1:18080" -> front = "host:1"`: "front: ",
		"nodes = 2 -> nodes = 5":                        "deployment.nodes",
		"rps = 200.0 -> rps = -1.0":                     "deployment.state.rps",
		"txn_ops = 12 -> txn_ops = 1":                   "deployment.state.txn_ops",
		"value_kb = 8.0 -> value_kb = 0.5":              "deployment.state.value_kb",
		"cpus = 64.0 -> cpus = nan":                     "negative or not a finite number",
		`zones = ["north", "south"] -> zones = []`:      "deployment.zones",
	} {
		from, to, _ := strings.Cut(change, " -> ")
		bad := strings.Replace(good, from, to, 1)
		if bad == good {
			t.Fatalf("%q does not change the sample", change)
		}
		if _, err := ReadPlatform(writeFile(t, "bad.toml", bad)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", change, err, want)
		}
	}
}

// A quota of 0 means that the resource is not limited, and a guarantee of 0 that nothing is guaranteed, separately
// for each resource. A guarantee that exceeds the quota is refused only if there is a quota
// (docs/incidents/exams-limits.md).
func TestZeroQuotaIsUnlimited(t *testing.T) {
	const teamAmounts = "cpus = 64.0\ncpus_max = 256.0\ngpus = 0.0\ngpus_max = 8.0"
	readTeam := func(amounts string) model.Team {
		t.Helper()
		text := strings.Replace(readSample(t, "example.toml"), teamAmounts, amounts, 1)
		p, err := ReadPlatform(writeFile(t, "team.toml", text))
		if err != nil {
			t.Fatalf("team settings %q: got error %v, want none", amounts, err)
		}
		return p.Teams()[0]
	}
	resources := func(cpu, gpu float64) model.Resources { return model.Resources{CPU: cpu, GPU: gpu} }
	for amounts, want := range map[string]struct{ allowed, refused, guaranteed, notGuaranteed model.Resources }{
		"cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0": {
			allowed: resources(1e6, 1e6), refused: resources(-1, 0), notGuaranteed: resources(0, 0),
		},
		"cpus = 64.0\ncpus_max = 0.0": {
			allowed: resources(1e6, 1e6), guaranteed: resources(64, 0), notGuaranteed: resources(1, 1),
		},
		"cpus_max = 8.0\ngpus_max = 0.0": {
			allowed: resources(8, 1e6), refused: resources(9, 0), notGuaranteed: resources(1, 0),
		},
		"cpus = 4.0\ngpus = 2.0\ngpus_max = 2.0": {
			allowed: resources(1e6, 2), refused: resources(1, 3), guaranteed: resources(4, 2), notGuaranteed: resources(5, 0),
		},
	} {
		got := readTeam(amounts)
		if !got.Quota.Allows(want.allowed) || want.refused.CPU > 0 && got.Quota.Allows(want.refused) {
			t.Errorf("%q: got quota %v, want one that allows %v but not %v",
				amounts, got.Quota, want.allowed, want.refused)
		}
		if got.WithinGuarantee(want.notGuaranteed) ||
			want.guaranteed.CPU > 0 && !got.WithinGuarantee(want.guaranteed) {
			t.Errorf("%q: got guarantee %v, want one that covers %v but not %v",
				amounts, got.Guarantee, want.guaranteed, want.notGuaranteed)
		}
	}
}

// Limits that the platform does not state get modest defaults. A missing limit must not prevent a controller from
// starting.
func TestMissingStateLimitsUseDefaults(t *testing.T) {
	text := readSample(t, "example.toml")
	for _, line := range []string{
		"rps = 200.0\n",
		"write_rps = 80.0\n",
		"value_kb = 8.0\n",
		"txn_ops = 12\n",
		"rps = 2.0\n",
		"max_connections = 1200",
		"mem_mb = 125.0\n",
		"list_lag_s = 6.0\n",
	} {
		text = strings.Replace(text, line, "", 1)
	}
	p, err := ReadPlatform(writeFile(t, "bare.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	l := p.StateLimits()
	if l.RPS <= 0 || l.WriteRPS <= 0 || l.ValueKB < minValueKB || l.TxnOps < minTxnOps || p.CloudRPS() <= 0 {
		t.Errorf("got state limits %+v and cloud limit %v, want defaults that are not below the minimum", l, p.CloudRPS())
	}
	reconciler, limits := ReconcilerSettings(p, Defaults()), StoreLimits(p)
	if reconciler.MaxTxnOps != l.TxnOps || reconciler.NumberedChunkTasks < 64 || limits.MaxValueBytes < 1024 {
		t.Errorf("got MaxTxnOps %d, NumberedChunkTasks %d, MaxValueBytes %d, want %d, at least 64, at least 1024",
			reconciler.MaxTxnOps, reconciler.NumberedChunkTasks, limits.MaxValueBytes, l.TxnOps)
	}
}

// The default weight of a team is its guarantee. A team without a guarantee gets the smallest default weight of the
// other teams. If no team has a guarantee, all teams get the same weight.
func TestFairShareWeightsDefaultToGuarantees(t *testing.T) {
	p, o := &Platform{}, Defaults()
	o.Ledger = &Ledger{SettleInterval: Duration(time.Second)}
	p.Deployment.State.WriteRPS = 10
	p.Deployment.Teams = []team{{Name: "a"}, {Name: "b"}}
	if w := LedgerSettings(p, o).Weights; w["a"] != w["b"] || w["a"] <= 0 {
		t.Errorf("no team has a guarantee: got weights %v, want equal weights above 0", w)
	}
	p.Deployment.Teams = []team{{Name: "a", CPUs: 400}, {Name: "b", CPUs: 100}, {Name: "guest"}}
	if w := LedgerSettings(p, o).Weights; w["a"] != 400 || w["b"] != 100 || w["guest"] != 100 {
		t.Errorf("one team has no guarantee: got weights %v, want a: 400, b: 100, guest: 100", w)
	}
}

// The smaller of the present and the upcoming limit applies from the start. A limit without an upcoming value
// stays. The layout of old records is derived from the present limit.
func TestUpcomingStateLimitsApplyFromTheStart(t *testing.T) {
	next := "[deployment.state.next]\nvalue_kb = 2.0\nwrite_rps = 56.0\nrps = 900.0\n\n[deployment.cloud]"
	text := strings.Replace(readSample(t, "example.toml"), "[deployment.cloud]", next, 1)
	p, err := ReadPlatform(writeFile(t, "next.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := p.StateLimits(), (StateLimits{RPS: 200, WriteRPS: 56, ValueKB: 2, TxnOps: 12}); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
	reconciler, limits := ReconcilerSettings(p, Defaults()), StoreLimits(p)
	if reconciler.NumberedChunkTasks != 16384 || reconciler.MaxTxnOps != 12 || limits.MaxValueBytes != 2048 {
		t.Errorf("got NumberedChunkTasks %d, MaxTxnOps %d, MaxValueBytes %d, want 16384, 12, 2048",
			reconciler.NumberedChunkTasks, reconciler.MaxTxnOps, limits.MaxValueBytes)
	}
}

// deploy/operator.xml, the sample for operators, must show every setting with its default.
func TestSampleOperatorFileMatchesDefaults(t *testing.T) {
	sample := readSample(t, "operator.xml")
	o, err := parseOperator([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	o.XMLName = want.XMLName
	if !reflect.DeepEqual(o, want) {
		t.Errorf("deploy/operator.xml: got\n%+v\nwant the defaults\n%+v", o, want)
	}
	var check func(v reflect.Type)
	check = func(v reflect.Type) {
		for i := range v.NumField() {
			f := v.Field(i)
			tag := f.Tag.Get("xml")
			if tag == "" || tag == "-" || strings.HasPrefix(tag, ",") || f.Name == "XMLName" {
				continue
			}
			if !strings.Contains(sample, "<"+tag+">") && !strings.Contains(sample, "<"+tag+" ") {
				t.Errorf("deploy/operator.xml lacks <%s>", tag)
			}
			if f.Type.Kind() == reflect.Pointer {
				check(f.Type.Elem())
			} else if f.Type.Kind() == reflect.Struct {
				check(f.Type)
			}
		}
	}
	check(reflect.TypeOf(*want))
}

func TestOptionalOperatorSectionsAreValidated(t *testing.T) {
	for text, want := range map[string]string{
		"<fair-share/>":                        "needs <ledger>",
		"<ledger><settle>1h</settle></ledger>": "ledger/settle",
		"<ledger><setle>1s</setle></ledger>":   "setle",
		"<admin/>":                             "token-file",
		"<ledger/><fair-share><gpu-weight>-1</gpu-weight></fair-share>":                            "fair-share/gpu-weight",
		`<ledger/><fair-share><weight team="a">1</weight><weight team="a">2</weight></fair-share>`: "missing or repeated",
	} {
		_, err := parseOperator([]byte("<glentiller>" + text + "</glentiller>"))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", text, err, want)
		}
	}
	p, err := ReadPlatform(writeFile(t, "good.toml", readSample(t, "example.toml")))
	if err != nil {
		t.Fatal(err)
	}
	for team, known := range map[string]bool{"vision": true, "visoin": false} {
		text := `<ledger/><fair-share><weight team="` + team + `">3</weight></fair-share>`
		o, err := parseOperator([]byte("<glentiller>" + text + "</glentiller>"))
		if err != nil || (CheckConsistency(p, o) == nil) != known {
			t.Errorf("weight of team %s: got parse error %v, consistency error %v, want consistent settings: %v",
				team, err, CheckConsistency(p, o), known)
		}
		if l := LedgerSettings(p, o); known && (l.Weights[team] != 3 || l.HalfLife != 24*time.Hour) {
			t.Errorf("weight of team %s: got weight %v and half-life %v, want 3 and 24 h", team, l.Weights[team], l.HalfLife)
		}
	}
}

func TestUnknownOperatorSettingIsRejected(t *testing.T) {
	for text, want := range map[string]string{
		"<glentiller><fleet><keep-idel>1s</keep-idel></fleet></glentiller>":                      "keep-idel",
		"<glentiller><flete/></glentiller>":                                                      "flete",
		`<glentiller version="2"></glentiller>`:                                                  "version",
		"<glentiller><leadership><lease>4</lease></leadership></glentiller>":                     "missing unit",
		"<glentiller><leadership><lease>4s</lease><margin>3s</margin></leadership></glentiller>": "leadership/margin",
		"<glentiller></glentiller><more/>":                                                       "unexpected content after",
		"<glentiller>":                                                                           "EOF",
		"<other/>":                                                                               "other",
	} {
		if _, err := parseOperator([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", text, err, want)
		}
	}
	o, err := parseOperator([]byte("<glentiller><fleet><keep-idle>90s</keep-idle></fleet></glentiller>\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := o.Autoscaler.IdleTimeout.Std(); got != 90*time.Second {
		t.Errorf("fleet/keep-idle: got %v, want 90s", got)
	}
	if got, want := o.Scheduler.PromoteAfter, Defaults().Scheduler.PromoteAfter; got != want {
		t.Errorf("scheduler/overtake, which the file omits: got %v, want the default %v", got.Std(), want.Std())
	}
}
