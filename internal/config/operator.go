package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// Duration is a length of time as operators write it, such as 1.5s or 2m.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as Go's own type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// strict collects what a section holds beyond its settings.
type strict struct {
	Attrs []xml.Attr       `xml:",any,attr"`
	Any   []unknownElement `xml:",any"`
}

type unknownElement struct{ XMLName xml.Name }

func (s *strict) check(section string) error {
	for _, a := range s.Attrs {
		return fmt.Errorf("<%s>: there is no attribute %q", section, a.Name.Local)
	}
	for _, e := range s.Any {
		return fmt.Errorf("<%s>: there is no setting <%s>", section, e.XMLName.Local)
	}
	return nil
}

// Operator is what operators may set. deploy/operator.xml explains every
// setting and holds the defaults.
type Operator struct {
	XMLName    xml.Name   `xml:"glentiller"`
	Leadership Leadership `xml:"leadership"`
	Scheduler  Scheduler  `xml:"scheduler"`
	Autoscaler Autoscaler `xml:"fleet"`
	Workers    Workers    `xml:"workers"`
	HTTPAPI    HTTPAPI    `xml:"front"`

	// What is off unless its element is there.
	Admin       *Admin       `xml:"admin"`
	Ledger      *Ledger      `xml:"ledger"`
	FairShare   *FairShare   `xml:"fair-share"`
	Constraints *Constraints `xml:"constraints"`
	Votes       *Votes       `xml:"promises"`
	Routing     *Routing     `xml:"requests"`
	Rollout     *Rollout     `xml:"rollout"`
	Relay       *Relay       `xml:"courier"`
	strict
}

// Admin is about the operators' interface.
type Admin struct {
	Listen    string `xml:"listen"`
	TokenFile string `xml:"token-file"`
	Token     []byte `xml:"-"` // what the file holds
	strict
}

// Ledger is about who used what.
type Ledger struct {
	SettleInterval Duration `xml:"settle"`
	KeepHours      Duration `xml:"keep-hours"`
	KeepDays       Duration `xml:"keep-days"`
	KeyFile        string   `xml:"key-file"` // "": pages have plain hashes
	Key            []byte   `xml:"-"`        // what the file holds
	strict
}

// FairShare is about the order of teams in what goes beyond guarantees.
type FairShare struct {
	HalfLife     Duration     `xml:"half-life"`
	GPUWeight    float64      `xml:"gpu-weight"`
	MemoryWeight float64      `xml:"memory-weight"`
	Weights      []TeamWeight `xml:"weight"`
	strict
}

// Constraints has submissions' rules read. There is nothing to set.
type Constraints struct{ strict }

// Votes has the other controllers promise the leader not to take over, so that it
// outlives outages of the state service.
type Votes struct {
	Outage Duration `xml:"outage"` // of a promise while the state service is silent; 0: no longer than others
	strict
}

// Routing has users' requests go round what fails: to a member that can take them, within
// limits that adapt.
type Routing struct {
	RetryRatio    float64  `xml:"retries"`
	MinHedgeDelay Duration `xml:"hedge"`
	MaxConcurrent int      `xml:"most"`
	strict
}

// Relay has workers' reports go to a leader out of reach by way of the state service. There is
// nothing to set.
type Relay struct{ strict }

// Rollout has members tell each other what their programs know, and features that need it of all
// come into force when all do.
type Rollout struct {
	SettleTime Duration `xml:"steady"` // for so long all must have known the next level, none restarted
	Paused     bool     `xml:"hold"`   // this member raises nothing
	strict
}

// TeamWeight is a team's part, beside those of the others.
type TeamWeight struct {
	Team  string  `xml:"team,attr"`
	Value float64 `xml:",chardata"`
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (a *Admin) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Admin
	p := plain{Listen: "127.0.0.1:18090"}
	err := d.DecodeElement(&p, &start)
	*a = Admin(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (l *Ledger) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Ledger
	p := plain{SettleInterval: Duration(5 * time.Second), KeepHours: Duration(7 * day), KeepDays: Duration(92 * day)}
	err := d.DecodeElement(&p, &start)
	*l = Ledger(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (r *Routing) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Routing
	p := plain{RetryRatio: 0.2, MinHedgeDelay: Duration(150 * time.Millisecond), MaxConcurrent: 256}
	err := d.DecodeElement(&p, &start)
	*r = Routing(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (r *Rollout) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Rollout
	p := plain{SettleTime: Duration(5 * time.Minute)}
	err := d.DecodeElement(&p, &start)
	*r = Rollout(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (f *FairShare) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain FairShare
	p := plain(defaultFairShare())
	err := d.DecodeElement(&p, &start)
	*f = FairShare(p)
	return err
}

// defaultFairShare are the defaults, by which decayed use is kept also where it orders nothing.
func defaultFairShare() FairShare { return FairShare{HalfLife: Duration(day), GPUWeight: 8} }

const day = 24 * time.Hour

// Leadership is about who leads.
type Leadership struct {
	Lease         Duration `xml:"lease"`
	Margin        Duration `xml:"margin"`
	PollInterval  Duration `xml:"look"`
	RetryInterval Duration `xml:"retry"`
	strict
}

// Scheduler is about what runs where.
type Scheduler struct {
	IdlePowerFraction    float64  `xml:"idle-power"`
	PromoteAfter         Duration `xml:"overtake"`
	PromoteLateAfter     Duration `xml:"overtake-late"`
	PassInterval         Duration `xml:"pass"`
	FlushInterval        Duration `xml:"flush"`
	PreemptForGuarantees bool     `xml:"preempt-for-guarantees"`
	MaxPreemptions       int      `xml:"preempt-most"`
	MaxStarts            int      `xml:"start-most"`
	MinRuntime           Duration `xml:"min-run"`
	ImageFirst           bool     `xml:"production-image-first"`
	TightSlack           Duration `xml:"tight"`
	ExpensiveFactor      float64  `xml:"dear"`
	ConsolidateInterval  Duration `xml:"consolidate"`
	FetchByDeadline      bool     `xml:"fetch-in-time"`
	Drain                bool     `xml:"vacate"`
	StarvationBound      Duration `xml:"begin-within"`
	Backoff              Duration `xml:"backoff"`
	MaxBackoff           Duration `xml:"backoff-most"`
	strict
}

// Autoscaler is about which machines are rented.
type Autoscaler struct {
	IdleTimeout       Duration `xml:"keep-idle"`
	IdleBootFactor    float64  `xml:"keep-boots"`
	MinBilledTime     Duration `xml:"least-paid"`
	SpotIdleFactor    float64  `xml:"keep-spot"`
	BootTimeoutFactor float64  `xml:"boot-factor"`
	BootTimeoutExtra  Duration `xml:"boot-extra"`
	RefusalBackoff    Duration `xml:"refused"`
	LookaheadBoots    float64  `xml:"soon-boots"`
	ListInterval      Duration `xml:"list"`
	CatalogInterval   Duration `xml:"catalog"`
	strict
}

// Workers is about dealings with workers.
type Workers struct {
	LeaseMargin          Duration `xml:"lease-margin"`
	UnresponsiveAfter    Duration `xml:"silent-after"` // 0: from the report interval
	MaxUnresponsiveShare float64  `xml:"silent-share"`
	MachineFaultErrors   int      `xml:"sick-errors"`
	CommandTimeout       Duration `xml:"direct-wait"`
	CommandHoldOff       Duration `xml:"direct-hold"`
	strict
}

// HTTPAPI is about answering users.
type HTTPAPI struct {
	StateTimeout    Duration `xml:"state-timeout"`
	RetryAfter      Duration `xml:"retry-after"`
	EndedJobsCached int      `xml:"keep-ended"`
	strict
}

// Defaults are the settings of operators who set nothing.
func Defaults() *Operator {
	s := func(v float64) Duration { return Duration(v * float64(time.Second)) }
	return &Operator{
		Leadership: Leadership{Lease: s(4), Margin: s(0.2), PollInterval: s(2), RetryInterval: s(0.25)},
		Scheduler: Scheduler{IdlePowerFraction: 0.7, PromoteAfter: s(60), PromoteLateAfter: s(900), PassInterval: s(0.05), FlushInterval: s(0.5), PreemptForGuarantees: true, MaxPreemptions: 16, ImageFirst: true, TightSlack: s(30), ExpensiveFactor: 2, ConsolidateInterval: s(1),
			MinRuntime: s(30), Backoff: s(4), MaxBackoff: s(60)},
		Autoscaler: Autoscaler{IdleTimeout: s(20), IdleBootFactor: 1, MinBilledTime: s(60), SpotIdleFactor: 4, BootTimeoutFactor: 2.5, BootTimeoutExtra: s(5), RefusalBackoff: s(15), LookaheadBoots: 1, ListInterval: s(5), CatalogInterval: s(60)},
		Workers: Workers{LeaseMargin: s(0.5), MaxUnresponsiveShare: 0.34, MachineFaultErrors: 2, CommandTimeout: s(1.5),
			CommandHoldOff: s(3)},
		HTTPAPI: HTTPAPI{StateTimeout: s(1.2), RetryAfter: s(1), EndedJobsCached: 50_000},
	}
}

// ReadOperator reads and checks the operators' file. Settings that it leaves
// out keep their defaults; anything that is not a setting is an error.
func ReadOperator(path string) (*Operator, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	o, err := parseOperator(b)
	if err == nil && o.Ledger != nil && o.Ledger.KeyFile != "" {
		o.Ledger.Key, err = ReadSecret(o.Ledger.KeyFile)
	}
	if err == nil && o.Admin != nil {
		o.Admin.Token, err = ReadSecret(o.Admin.TokenFile)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

func parseOperator(b []byte) (*Operator, error) {
	o := Defaults()
	d := xml.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(o); err != nil {
		return nil, err
	}
	for {
		tok, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if text, ok := tok.(xml.CharData); err != nil || !ok || len(bytes.TrimSpace(text)) > 0 {
			return nil, errors.New("something stands behind </glentiller>")
		}
	}
	for _, s := range []struct {
		name string
		s    *strict
	}{{"glentiller", &o.strict}, {"leadership", &o.Leadership.strict}, {"scheduler", &o.Scheduler.strict},
		{"fleet", &o.Autoscaler.strict}, {"workers", &o.Workers.strict}, {"front", &o.HTTPAPI.strict}} {
		if err := s.s.check(s.name); err != nil {
			return nil, err
		}
	}
	return o, errors.Join(o.validateOptional(), o.validate())
}

// validateOptional checks the parts that may be absent.
func (o *Operator) validateOptional() error {
	var errs []error
	part := func(name string, s *strict, checks ...error) {
		errs = append(errs, s.check(name), errors.Join(checks...))
	}
	if a := o.Admin; a != nil {
		var token error
		if a.TokenFile == "" {
			token = errors.New("admin/token-file: missing; the interface is not opened without a token")
		}
		_, port, err := net.SplitHostPort(a.Listen)
		if err != nil || port == "" {
			err = fmt.Errorf("admin/listen: %q is not an address with a port", a.Listen)
		}
		part("admin", &a.strict, err, token)
	}
	if l := o.Ledger; l != nil {
		part("ledger", &l.strict, checkDuration("ledger/settle", l.SettleInterval, time.Second, 10*time.Minute),
			checkDuration("ledger/keep-hours", l.KeepHours, 2*time.Hour, 10*366*day), checkDuration("ledger/keep-days", l.KeepDays, l.KeepHours.Std()+2*day, 100*366*day))
	}
	if c := o.Constraints; c != nil {
		part("constraints", &c.strict)
	}
	if c := o.Votes; c != nil {
		part("promises", &c.strict, checkDuration("promises/outage", c.Outage, 0, time.Minute))
	}
	if r := o.Routing; r != nil {
		part("requests", &r.strict, checkNumber("requests/retries", r.RetryRatio, 0, 1), checkDuration("requests/hedge", r.MinHedgeDelay, 0, 2*time.Second),
			checkNumber("requests/most", float64(r.MaxConcurrent), 8, 10_000))
	}
	if c := o.Relay; c != nil {
		part("courier", &c.strict)
	}
	if r := o.Rollout; r != nil {
		part("rollout", &r.strict, checkDuration("rollout/steady", r.SettleTime, time.Second, 7*day))
	}
	if f := o.FairShare; f != nil {
		part("fair-share", &f.strict, checkDuration("fair-share/half-life", f.HalfLife, time.Minute, 366*day))
		if o.Ledger == nil {
			errs = append(errs, errors.New("fair-share: needs <ledger>, which knows who used what"))
		}
		weight := func(name string, v float64) {
			if !(v >= 0 && v <= 1e9) {
				errs = append(errs, fmt.Errorf("fair-share/%s: %v is not between 0 and 1e9", name, v))
			}
		}
		weight("gpu-weight", f.GPUWeight)
		weight("memory-weight", f.MemoryWeight)
		named := map[string]bool{}
		for _, w := range f.Weights {
			weight(fmt.Sprintf("weight of team %q", w.Team), w.Value)
			if w.Team == "" || named[w.Team] {
				errs = append(errs, fmt.Errorf("fair-share/weight: team %q has none or several", w.Team))
			}
			named[w.Team] = true
		}
	}
	return errors.Join(errs...)
}

func checkDuration(name string, v Duration, least, most time.Duration) error {
	if v.Std() < least || v.Std() > most {
		return fmt.Errorf("%s: %v is not between %v and %v", name, v.Std(), least, most)
	}
	return nil
}

func checkNumber(name string, v, least, most float64) error {
	if !(v >= least && v <= most) {
		return fmt.Errorf("%s: %v is not between %v and %v", name, v, least, most)
	}
	return nil
}

// ReadSecret reads a token or a key from a file: one line.
func ReadSecret(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if b = bytes.TrimSpace(b); len(b) < minSecretLength || bytes.ContainsAny(b, "\r\n") {
		return nil, fmt.Errorf("%s: a secret is one line of %d characters or more", path, minSecretLength)
	}
	return b, nil
}

// minSecretLength is the length of a token or key that nobody guesses.
const minSecretLength = 16

func (o *Operator) validate() error {
	var errs []error
	span := func(name string, v Duration, least, most time.Duration) {
		if err := checkDuration(name, v, least, most); err != nil {
			errs = append(errs, err)
		}
	}
	number := func(name string, v, least, most float64) {
		if err := checkNumber(name, v, least, most); err != nil {
			errs = append(errs, err)
		}
	}
	span("leadership/lease", o.Leadership.Lease, time.Second, 10*time.Minute)
	span("leadership/margin", o.Leadership.Margin, 50*time.Millisecond, o.Leadership.Lease.Std()/2)
	span("leadership/look", o.Leadership.PollInterval, 100*time.Millisecond, time.Minute)
	span("leadership/retry", o.Leadership.RetryInterval, 20*time.Millisecond, 10*time.Second)
	number("scheduler/idle-power", o.Scheduler.IdlePowerFraction, 0, 1)
	span("scheduler/overtake", o.Scheduler.PromoteAfter, 0, 24*time.Hour)
	span("scheduler/overtake-late", o.Scheduler.PromoteLateAfter, o.Scheduler.PromoteAfter.Std(), 7*24*time.Hour)
	span("scheduler/consolidate", o.Scheduler.ConsolidateInterval, 0, 24*time.Hour)
	number("scheduler/dear", o.Scheduler.ExpensiveFactor, 1, 1e6)
	span("scheduler/tight", o.Scheduler.TightSlack, 0, 24*time.Hour)
	span("scheduler/pass", o.Scheduler.PassInterval, time.Millisecond, 10*time.Second)
	span("scheduler/flush", o.Scheduler.FlushInterval, 10*time.Millisecond, 2*time.Second)
	number("scheduler/start-most", float64(o.Scheduler.MaxStarts), 0, 1_000_000)
	number("scheduler/preempt-most", float64(o.Scheduler.MaxPreemptions), 0, 10_000)
	span("scheduler/min-run", o.Scheduler.MinRuntime, 0, time.Hour)
	span("scheduler/begin-within", o.Scheduler.StarvationBound, 0, 24*time.Hour)
	span("scheduler/backoff", o.Scheduler.Backoff, 100*time.Millisecond, time.Hour)
	span("scheduler/backoff-most", o.Scheduler.MaxBackoff, o.Scheduler.Backoff.Std(), 24*time.Hour)
	span("fleet/keep-idle", o.Autoscaler.IdleTimeout, 0, 24*time.Hour)
	number("fleet/keep-boots", o.Autoscaler.IdleBootFactor, 0, 100)
	span("fleet/least-paid", o.Autoscaler.MinBilledTime, 0, 24*time.Hour)
	number("fleet/keep-spot", o.Autoscaler.SpotIdleFactor, 0, 1000)
	number("fleet/boot-factor", o.Autoscaler.BootTimeoutFactor, 1, 100)
	span("fleet/boot-extra", o.Autoscaler.BootTimeoutExtra, 0, time.Hour)
	number("fleet/soon-boots", o.Autoscaler.LookaheadBoots, 0, 100)
	span("fleet/refused", o.Autoscaler.RefusalBackoff, time.Second, time.Hour)
	span("fleet/list", o.Autoscaler.ListInterval, time.Second, time.Hour)
	span("fleet/catalog", o.Autoscaler.CatalogInterval, time.Second, 24*time.Hour)
	span("workers/lease-margin", o.Workers.LeaseMargin, 100*time.Millisecond, time.Minute)
	span("workers/silent-after", o.Workers.UnresponsiveAfter, 0, time.Hour)
	number("workers/silent-share", o.Workers.MaxUnresponsiveShare, 0, 1)
	number("workers/sick-errors", float64(o.Workers.MachineFaultErrors), 1, 1000)
	span("workers/direct-wait", o.Workers.CommandTimeout, 100*time.Millisecond, time.Minute)
	span("workers/direct-hold", o.Workers.CommandHoldOff, 0, time.Minute)
	span("front/state-timeout", o.HTTPAPI.StateTimeout, 100*time.Millisecond, 4*time.Second)
	span("front/retry-after", o.HTTPAPI.RetryAfter, time.Second, 30*time.Second)
	number("front/keep-ended", float64(o.HTTPAPI.EndedJobsCached), 0, 10_000_000)
	return errors.Join(errs...)
}
