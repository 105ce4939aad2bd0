package config

import (
	"encoding/xml"
	"errors"
	"fmt"
	"net"
	"time"
)

// unknownSettings collects the attributes and elements of a section that are not settings, so that they can be
// reported.
type unknownSettings struct {
	Attrs    []xml.Attr       `xml:",any,attr"`
	Elements []unknownElement `xml:",any"`
}

type unknownElement struct{ XMLName xml.Name }

// check returns an error for the first unknown attribute or element of a section.
func (u *unknownSettings) check(section string) error {
	for _, a := range u.Attrs {
		return fmt.Errorf("<%s>: unknown attribute %q", section, a.Name.Local)
	}
	for _, e := range u.Elements {
		return fmt.Errorf("<%s>: unknown setting <%s>", section, e.XMLName.Local)
	}
	return nil
}

// checkUnknown returns an error for the first unknown setting in the root element or in a section that is not
// optional. validateOptional checks the optional sections.
func (o *Operator) checkUnknown() error {
	for _, section := range []struct {
		name    string
		unknown *unknownSettings
	}{
		{"glentiller", &o.unknownSettings},
		{"leadership", &o.Leadership.unknownSettings},
		{"scheduler", &o.Scheduler.unknownSettings},
		{"fleet", &o.Autoscaler.unknownSettings},
		{"workers", &o.Workers.unknownSettings},
		{"front", &o.HTTPAPI.unknownSettings},
	} {
		if err := section.unknown.check(section.name); err != nil {
			return err
		}
	}
	return nil
}

// checkDuration returns an error unless the setting v is between minimum and maximum, inclusive.
func checkDuration(name string, v Duration, minimum, maximum time.Duration) error {
	if v.Std() < minimum || v.Std() > maximum {
		return fmt.Errorf("%s: %v is out of range, must be between %v and %v", name, v.Std(), minimum, maximum)
	}
	return nil
}

// checkNumber returns an error unless the setting v is between minimum and maximum, inclusive. NaN is an error.
func checkNumber(name string, v, minimum, maximum float64) error {
	if !(v >= minimum && v <= maximum) {
		return fmt.Errorf("%s: %v is out of range, must be between %v and %v", name, v, minimum, maximum)
	}
	return nil
}

// validate checks the values in the sections that are not optional. It reports all errors.
func (o *Operator) validate() error {
	return errors.Join(
		o.Leadership.validate(),
		o.Scheduler.validate(),
		o.Autoscaler.validate(),
		o.Workers.validate(),
		o.HTTPAPI.validate(),
	)
}

func (l *Leadership) validate() error {
	return errors.Join(
		checkDuration("leadership/lease", l.Lease, time.Second, 10*time.Minute),
		checkDuration("leadership/margin", l.SafetyMargin, 50*time.Millisecond, l.Lease.Std()/2),
		checkDuration("leadership/look", l.PollInterval, 100*time.Millisecond, time.Minute),
		checkDuration("leadership/retry", l.RetryInterval, 20*time.Millisecond, 10*time.Second),
	)
}

func (s *Scheduler) validate() error {
	return errors.Join(
		checkNumber("scheduler/idle-power", s.IdlePowerFraction, 0, 1),
		checkDuration("scheduler/overtake", s.PromoteAfter, 0, day),
		checkDuration("scheduler/overtake-late", s.PromoteDeadlineAfter, s.PromoteAfter.Std(), 7*day),
		checkDuration("scheduler/consolidate", s.ConsolidateInterval, 0, day),
		checkNumber("scheduler/dear", s.ExpensiveFactor, 1, 1e6),
		checkDuration("scheduler/tight", s.TightSlack, 0, day),
		checkDuration("scheduler/pass", s.PassInterval, time.Millisecond, 10*time.Second),
		checkDuration("scheduler/flush", s.FlushInterval, 10*time.Millisecond, 2*time.Second),
		checkNumber("scheduler/start-most", float64(s.MaxStarts), 0, 1_000_000),
		checkNumber("scheduler/preempt-most", float64(s.MaxPreemptions), 0, 10_000),
		checkDuration("scheduler/min-run", s.MinRuntime, 0, time.Hour),
		checkDuration("scheduler/begin-within", s.StarvationBound, 0, day),
		checkDuration("scheduler/backoff", s.Backoff, 100*time.Millisecond, time.Hour),
		checkDuration("scheduler/backoff-most", s.MaxBackoff, s.Backoff.Std(), day),
	)
}

func (a *Autoscaler) validate() error {
	return errors.Join(
		checkDuration("fleet/keep-idle", a.IdleTimeout, 0, day),
		checkNumber("fleet/keep-boots", a.IdleBootFactor, 0, 100),
		checkDuration("fleet/least-paid", a.MinBilledTime, 0, day),
		checkNumber("fleet/keep-spot", a.SpotIdleFactor, 0, 1000),
		checkNumber("fleet/boot-factor", a.BootTimeoutFactor, 1, 100),
		checkDuration("fleet/boot-extra", a.BootTimeoutExtra, 0, time.Hour),
		checkNumber("fleet/soon-boots", a.LookaheadBootTimes, 0, 100),
		checkDuration("fleet/refused", a.RefusalBackoff, time.Second, time.Hour),
		checkDuration("fleet/list", a.ListInterval, time.Second, time.Hour),
		checkDuration("fleet/catalog", a.CatalogInterval, time.Second, day),
	)
}

func (w *Workers) validate() error {
	return errors.Join(
		checkDuration("workers/lease-margin", w.LeaseMargin, 100*time.Millisecond, time.Minute),
		checkDuration("workers/silent-after", w.UnresponsiveAfter, 0, time.Hour),
		checkNumber("workers/silent-share", w.MaxUnresponsiveShare, 0, 1),
		checkNumber("workers/sick-errors", float64(w.MachineFaultErrors), 1, 1000),
		checkDuration("workers/direct-wait", w.CommandTimeout, 100*time.Millisecond, time.Minute),
		checkDuration("workers/direct-hold", w.CommandHoldOff, 0, time.Minute),
	)
}

func (h *HTTPAPI) validate() error {
	return errors.Join(
		checkDuration("front/state-timeout", h.StateTimeout, 100*time.Millisecond, 4*time.Second),
		checkDuration("front/retry-after", h.RetryAfter, time.Second, 30*time.Second),
		checkNumber("front/keep-ended", float64(h.MaxCachedEndedJobs), 0, 10_000_000),
	)
}

// validateOptional checks the optional sections that are present, for unknown settings and for invalid values.
func (o *Operator) validateOptional() error {
	var errs []error
	if a := o.Admin; a != nil {
		errs = append(errs, a.check("admin"), a.validate())
	}
	if l := o.Ledger; l != nil {
		errs = append(errs, l.check("ledger"), l.validate())
	}
	if c := o.Constraints; c != nil {
		errs = append(errs, c.check("constraints"))
	}
	if v := o.Votes; v != nil {
		errs = append(errs, v.check("promises"), checkDuration("promises/outage", v.OutageVoteDuration, 0, time.Minute))
	}
	if r := o.Routing; r != nil {
		errs = append(errs, r.check("requests"), r.validate())
	}
	if r := o.Relay; r != nil {
		errs = append(errs, r.check("courier"))
	}
	if r := o.Rollout; r != nil {
		errs = append(errs, r.check("rollout"), checkDuration("rollout/steady", r.SettleTime, time.Second, 7*day))
	}
	if f := o.FairShare; f != nil {
		errs = append(errs, f.check("fair-share"), f.validate(o.Ledger != nil))
	}
	return errors.Join(errs...)
}

func (a *Admin) validate() error {
	_, port, err := net.SplitHostPort(a.Listen)
	if err != nil || port == "" {
		err = fmt.Errorf("admin/listen: invalid address %q, must have the form host:port", a.Listen)
	}
	if a.TokenFile == "" {
		err = errors.Join(err,
			errors.New("admin/token-file: missing; the operators' interface requires a token"))
	}
	return err
}

func (l *Ledger) validate() error {
	const year = 366 * day
	return errors.Join(
		checkDuration("ledger/settle", l.SettleInterval, time.Second, 10*time.Minute),
		checkDuration("ledger/keep-hours", l.KeepHours, 2*time.Hour, 10*year),
		checkDuration("ledger/keep-days", l.KeepDays, l.KeepHours.Std()+2*day, 100*year),
	)
}

func (r *Routing) validate() error {
	return errors.Join(
		checkNumber("requests/retries", r.RetryRatio, 0, 1),
		checkDuration("requests/hedge", r.MinHedgeDelay, 0, 2*time.Second),
		checkNumber("requests/most", float64(r.MaxConcurrent), 8, 10_000),
	)
}

// validate checks the settings. hasLedger tells whether the ledger is enabled, which fair share requires.
func (f *FairShare) validate(hasLedger bool) error {
	errs := []error{checkDuration("fair-share/half-life", f.HalfLife, time.Minute, 366*day)}
	if !hasLedger {
		errs = append(errs, errors.New("fair-share: needs <ledger>, which records the usage of the teams"))
	}
	errs = append(errs, checkWeight("gpu-weight", f.GPUWeight), checkWeight("memory-weight", f.MemoryWeight))
	seenTeams := map[string]bool{}
	for _, w := range f.Weights {
		errs = append(errs, checkWeight(fmt.Sprintf("weight of team %q", w.Team), w.Value))
		if w.Team == "" || seenTeams[w.Team] {
			errs = append(errs, fmt.Errorf("fair-share/weight: team name %q is missing or repeated", w.Team))
		}
		seenTeams[w.Team] = true
	}
	return errors.Join(errs...)
}

// checkWeight returns an error unless the weight v of fair share is between 0 and 1e9. NaN is an error.
func checkWeight(name string, v float64) error {
	if !(v >= 0 && v <= 1e9) {
		return fmt.Errorf("fair-share/%s: %v is out of range, must be between 0 and 1e9", name, v)
	}
	return nil
}
