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

// D returns the duration as Go's own type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// strict collects what a section holds beyond its settings.
type strict struct {
	Attrs []xml.Attr `xml:",any,attr"`
	Any   []stray    `xml:",any"`
}

type stray struct{ XMLName xml.Name }

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
	Fleet      Fleet      `xml:"fleet"`
	Workers    Workers    `xml:"workers"`
	Front      Front      `xml:"front"`

	// What is off unless its element is there.
	Admin       *Admin       `xml:"admin"`
	Ledger      *Ledger      `xml:"ledger"`
	FairShare   *FairShare   `xml:"fair-share"`
	Constraints *Constraints `xml:"constraints"`
	Promises    *Promises    `xml:"promises"`
	Requests    *Requests    `xml:"requests"`
	Rollout     *Rollout     `xml:"rollout"`
	Courier     *Courier     `xml:"courier"`
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
	Settle    Duration `xml:"settle"`
	KeepHours Duration `xml:"keep-hours"`
	KeepDays  Duration `xml:"keep-days"`
	KeyFile   string   `xml:"key-file"` // "": pages have plain hashes
	Key       []byte   `xml:"-"`        // what the file holds
	strict
}

// FairShare is about the order of teams in what goes beyond guarantees.
type FairShare struct {
	HalfLife  Duration `xml:"half-life"`
	GPUWeight float64  `xml:"gpu-weight"`
	MemWeight float64  `xml:"memory-weight"`
	Weights   []Weight `xml:"weight"`
	strict
}

// Constraints has submissions' rules read. There is nothing to set.
type Constraints struct{ strict }

// Promises has the other controllers promise the leader not to take over, so that it
// outlives outages of the state service.
type Promises struct {
	Outage Duration `xml:"outage"` // of a promise while the state service is silent; 0: no longer than others
	strict
}

// Requests has users' requests go round what fails: to a member that can take them, within
// limits that adapt.
type Requests struct {
	Retries float64  `xml:"retries"`
	Hedge   Duration `xml:"hedge"`
	Most    int      `xml:"most"`
	strict
}

// Courier has workers' reports go to a leader out of reach by way of the state service. There is
// nothing to set.
type Courier struct{ strict }

// Rollout has members tell each other what their programs know, and features that need it of all
// come into force when all do.
type Rollout struct {
	Steady Duration `xml:"steady"` // for so long all must have known the next level, none restarted
	Hold   bool     `xml:"hold"`   // this member raises nothing
	strict
}

// Weight is a team's part, beside those of the others.
type Weight struct {
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
	p := plain{Settle: Duration(5 * time.Second), KeepHours: Duration(7 * day), KeepDays: Duration(92 * day)}
	err := d.DecodeElement(&p, &start)
	*l = Ledger(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (r *Requests) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Requests
	p := plain{Retries: 0.2, Hedge: Duration(150 * time.Millisecond), Most: 256}
	err := d.DecodeElement(&p, &start)
	*r = Requests(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (r *Rollout) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Rollout
	p := plain{Steady: Duration(5 * time.Minute)}
	err := d.DecodeElement(&p, &start)
	*r = Rollout(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the part on.
func (f *FairShare) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain FairShare
	p := plain(fairShare())
	err := d.DecodeElement(&p, &start)
	*f = FairShare(p)
	return err
}

// fairShare are the defaults, by which decayed use is kept also where it orders nothing.
func fairShare() FairShare { return FairShare{HalfLife: Duration(day), GPUWeight: 8} }

const day = 24 * time.Hour

// Leadership is about who leads.
type Leadership struct {
	Lease  Duration `xml:"lease"`
	Margin Duration `xml:"margin"`
	Look   Duration `xml:"look"`
	Retry  Duration `xml:"retry"`
	strict
}

// Scheduler is about what runs where.
type Scheduler struct {
	IdlePower         float64  `xml:"idle-power"`
	Overtake          Duration `xml:"overtake"`
	OvertakeLate      Duration `xml:"overtake-late"`
	Pass              Duration `xml:"pass"`
	Flush             Duration `xml:"flush"`
	PreemptGuarantees bool     `xml:"preempt-for-guarantees"`
	PreemptMost       int      `xml:"preempt-most"`
	StartMost         int      `xml:"start-most"`
	MinRun            Duration `xml:"min-run"`
	ImageFirst        bool     `xml:"production-image-first"`
	Tight             Duration `xml:"tight"`
	Dear              float64  `xml:"dear"`
	Consolidate       Duration `xml:"consolidate"`
	FetchInTime       bool     `xml:"fetch-in-time"`
	Vacate            bool     `xml:"vacate"`
	BeginWithin       Duration `xml:"begin-within"`
	Backoff           Duration `xml:"backoff"`
	BackoffMost       Duration `xml:"backoff-most"`
	strict
}

// Fleet is about which machines are rented.
type Fleet struct {
	KeepIdle   Duration `xml:"keep-idle"`
	KeepBoots  float64  `xml:"keep-boots"`
	LeastPaid  Duration `xml:"least-paid"`
	KeepSpot   float64  `xml:"keep-spot"`
	BootFactor float64  `xml:"boot-factor"`
	BootExtra  Duration `xml:"boot-extra"`
	Refused    Duration `xml:"refused"`
	SoonBoots  float64  `xml:"soon-boots"`
	List       Duration `xml:"list"`
	Catalog    Duration `xml:"catalog"`
	strict
}

// Workers is about dealings with workers.
type Workers struct {
	LeaseMargin Duration `xml:"lease-margin"`
	SilentAfter Duration `xml:"silent-after"` // 0: from the report interval
	SilentShare float64  `xml:"silent-share"`
	SickErrors  int      `xml:"sick-errors"`
	DirectWait  Duration `xml:"direct-wait"`
	DirectHold  Duration `xml:"direct-hold"`
	strict
}

// Front is about answering users.
type Front struct {
	StateTimeout Duration `xml:"state-timeout"`
	RetryAfter   Duration `xml:"retry-after"`
	KeepEnded    int      `xml:"keep-ended"`
	strict
}

// Defaults are the settings of operators who set nothing.
func Defaults() *Operator {
	s := func(v float64) Duration { return Duration(v * float64(time.Second)) }
	return &Operator{
		Leadership: Leadership{Lease: s(4), Margin: s(0.2), Look: s(2), Retry: s(0.25)},
		Scheduler: Scheduler{IdlePower: 0.7, Overtake: s(60), OvertakeLate: s(900), Pass: s(0.05), Flush: s(0.5), PreemptGuarantees: true, PreemptMost: 16, ImageFirst: true, Tight: s(30), Dear: 2, Consolidate: s(1),
			MinRun: s(30), Backoff: s(4), BackoffMost: s(60)},
		Fleet: Fleet{KeepIdle: s(20), KeepBoots: 1, LeastPaid: s(60), KeepSpot: 4, BootFactor: 2.5, BootExtra: s(5), Refused: s(15), SoonBoots: 1, List: s(5), Catalog: s(60)},
		Workers: Workers{LeaseMargin: s(0.5), SilentShare: 0.34, SickErrors: 2, DirectWait: s(1.5),
			DirectHold: s(3)},
		Front: Front{StateTimeout: s(1.2), RetryAfter: s(1), KeepEnded: 50_000},
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
		{"fleet", &o.Fleet.strict}, {"workers", &o.Workers.strict}, {"front", &o.Front.strict}} {
		if err := s.s.check(s.name); err != nil {
			return nil, err
		}
	}
	return o, errors.Join(o.checkParts(), o.check())
}

// checkParts checks the parts that may be absent.
func (o *Operator) checkParts() error {
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
		part("ledger", &l.strict, between("ledger/settle", l.Settle, time.Second, 10*time.Minute),
			between("ledger/keep-hours", l.KeepHours, 2*time.Hour, 10*366*day), between("ledger/keep-days", l.KeepDays, l.KeepHours.D()+2*day, 100*366*day))
	}
	if c := o.Constraints; c != nil {
		part("constraints", &c.strict)
	}
	if c := o.Promises; c != nil {
		part("promises", &c.strict, between("promises/outage", c.Outage, 0, time.Minute))
	}
	if r := o.Requests; r != nil {
		part("requests", &r.strict, among("requests/retries", r.Retries, 0, 1), between("requests/hedge", r.Hedge, 0, 2*time.Second),
			among("requests/most", float64(r.Most), 8, 10_000))
	}
	if c := o.Courier; c != nil {
		part("courier", &c.strict)
	}
	if r := o.Rollout; r != nil {
		part("rollout", &r.strict, between("rollout/steady", r.Steady, time.Second, 7*day))
	}
	if f := o.FairShare; f != nil {
		part("fair-share", &f.strict, between("fair-share/half-life", f.HalfLife, time.Minute, 366*day))
		if o.Ledger == nil {
			errs = append(errs, errors.New("fair-share: needs <ledger>, which knows who used what"))
		}
		weight := func(name string, v float64) {
			if !(v >= 0 && v <= 1e9) {
				errs = append(errs, fmt.Errorf("fair-share/%s: %v is not between 0 and 1e9", name, v))
			}
		}
		weight("gpu-weight", f.GPUWeight)
		weight("memory-weight", f.MemWeight)
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

func between(name string, v Duration, least, most time.Duration) error {
	if v.D() < least || v.D() > most {
		return fmt.Errorf("%s: %v is not between %v and %v", name, v.D(), least, most)
	}
	return nil
}

func among(name string, v, least, most float64) error {
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
	if b = bytes.TrimSpace(b); len(b) < leastSecret || bytes.ContainsAny(b, "\r\n") {
		return nil, fmt.Errorf("%s: a secret is one line of %d characters or more", path, leastSecret)
	}
	return b, nil
}

// leastSecret is the length of a token or key that nobody guesses.
const leastSecret = 16

func (o *Operator) check() error {
	var errs []error
	span := func(name string, v Duration, least, most time.Duration) {
		if err := between(name, v, least, most); err != nil {
			errs = append(errs, err)
		}
	}
	number := func(name string, v, least, most float64) {
		if err := among(name, v, least, most); err != nil {
			errs = append(errs, err)
		}
	}
	span("leadership/lease", o.Leadership.Lease, time.Second, 10*time.Minute)
	span("leadership/margin", o.Leadership.Margin, 50*time.Millisecond, o.Leadership.Lease.D()/2)
	span("leadership/look", o.Leadership.Look, 100*time.Millisecond, time.Minute)
	span("leadership/retry", o.Leadership.Retry, 20*time.Millisecond, 10*time.Second)
	number("scheduler/idle-power", o.Scheduler.IdlePower, 0, 1)
	span("scheduler/overtake", o.Scheduler.Overtake, 0, 24*time.Hour)
	span("scheduler/overtake-late", o.Scheduler.OvertakeLate, o.Scheduler.Overtake.D(), 7*24*time.Hour)
	span("scheduler/consolidate", o.Scheduler.Consolidate, 0, 24*time.Hour)
	number("scheduler/dear", o.Scheduler.Dear, 1, 1e6)
	span("scheduler/tight", o.Scheduler.Tight, 0, 24*time.Hour)
	span("scheduler/pass", o.Scheduler.Pass, time.Millisecond, 10*time.Second)
	span("scheduler/flush", o.Scheduler.Flush, 10*time.Millisecond, 2*time.Second)
	number("scheduler/start-most", float64(o.Scheduler.StartMost), 0, 1_000_000)
	number("scheduler/preempt-most", float64(o.Scheduler.PreemptMost), 0, 10_000)
	span("scheduler/min-run", o.Scheduler.MinRun, 0, time.Hour)
	span("scheduler/begin-within", o.Scheduler.BeginWithin, 0, 24*time.Hour)
	span("scheduler/backoff", o.Scheduler.Backoff, 100*time.Millisecond, time.Hour)
	span("scheduler/backoff-most", o.Scheduler.BackoffMost, o.Scheduler.Backoff.D(), 24*time.Hour)
	span("fleet/keep-idle", o.Fleet.KeepIdle, 0, 24*time.Hour)
	number("fleet/keep-boots", o.Fleet.KeepBoots, 0, 100)
	span("fleet/least-paid", o.Fleet.LeastPaid, 0, 24*time.Hour)
	number("fleet/keep-spot", o.Fleet.KeepSpot, 0, 1000)
	number("fleet/boot-factor", o.Fleet.BootFactor, 1, 100)
	span("fleet/boot-extra", o.Fleet.BootExtra, 0, time.Hour)
	number("fleet/soon-boots", o.Fleet.SoonBoots, 0, 100)
	span("fleet/refused", o.Fleet.Refused, time.Second, time.Hour)
	span("fleet/list", o.Fleet.List, time.Second, time.Hour)
	span("fleet/catalog", o.Fleet.Catalog, time.Second, 24*time.Hour)
	span("workers/lease-margin", o.Workers.LeaseMargin, 100*time.Millisecond, time.Minute)
	span("workers/silent-after", o.Workers.SilentAfter, 0, time.Hour)
	number("workers/silent-share", o.Workers.SilentShare, 0, 1)
	number("workers/sick-errors", float64(o.Workers.SickErrors), 1, 1000)
	span("workers/direct-wait", o.Workers.DirectWait, 100*time.Millisecond, time.Minute)
	span("workers/direct-hold", o.Workers.DirectHold, 0, time.Minute)
	span("front/state-timeout", o.Front.StateTimeout, 100*time.Millisecond, 4*time.Second)
	span("front/retry-after", o.Front.RetryAfter, time.Second, 30*time.Second)
	number("front/keep-ended", float64(o.Front.KeepEnded), 0, 10_000_000)
	return errors.Join(errs...)
}
