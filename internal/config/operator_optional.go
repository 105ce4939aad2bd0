package config

import (
	"encoding/xml"
	"time"
)

// Admin holds the settings of the operators' interface.
type Admin struct {
	Listen    string `xml:"listen"`     // address as host:port
	TokenFile string `xml:"token-file"` // required
	Token     []byte `xml:"-"`          // bearer token that ReadOperator has read from TokenFile
	unknownSettings
}

// Ledger holds the settings of the usage ledger. ReadOperator fills in Key.
type Ledger struct {
	SettleInterval Duration `xml:"settle"`     // minimum time between settlements of one account
	KeepHours      Duration `xml:"keep-hours"` // age at which hourly segments are compacted to days
	KeepDays       Duration `xml:"keep-days"`  // age at which daily segments are compacted to months
	KeyFile        string   `xml:"key-file"`   // if empty, segments have hashes without a key
	Key            []byte   `xml:"-"`          // secret that ReadOperator has read from KeyFile
	unknownSettings
}

// FairShare holds the settings of fair share, which orders the teams' work beyond their guarantees.
type FairShare struct {
	HalfLife     Duration     `xml:"half-life"`     // time after which usage counts half
	GPUWeight    float64      `xml:"gpu-weight"`    // CPUs that a GPU counts as
	MemoryWeight float64      `xml:"memory-weight"` // CPUs that a GB of memory counts as
	Weights      []TeamWeight `xml:"weight"`        // weights of the teams whose weight is not the default
	unknownSettings
}

// TeamWeight is a team's weight relative to the weights of the other teams.
type TeamWeight struct {
	Team  string  `xml:"team,attr"`
	Value float64 `xml:",chardata"`
}

// Constraints enables placement constraints in submissions. It has no settings.
type Constraints struct{ unknownSettings }

// Votes enables votes of the other members for the leader. With them, the leader keeps its leadership during
// outages of the state service.
type Votes struct {
	OutageVoteDuration Duration `xml:"outage"` // duration of a vote during an outage; 0 means no longer than at other times
	unknownSettings
}

// Routing enables the routing of users' requests around failures, to members that can serve them, within adaptive
// concurrency limits.
type Routing struct {
	RetryRatio    float64  `xml:"retries"` // retries that each successful request allows
	MinHedgeDelay Duration `xml:"hedge"`   // minimum time before a request is hedged; 0 disables hedging
	MaxConcurrent int      `xml:"most"`    // upper bound of the concurrency limit of each kind of request
	unknownSettings
}

// Rollout enables feature levels: members announce the level that their program supports, and a level comes into
// force once all members support it.
type Rollout struct {
	SettleTime Duration `xml:"steady"` // how long all members must have supported the next level without a restart
	Paused     bool     `xml:"hold"`   // this member does not raise the level
	unknownSettings
}

// Relay enables the relay of heartbeats through the state service if the leader cannot be reached. It has no
// settings.
type Relay struct{ unknownSettings }

// UnmarshalXML decodes an <admin> element. Settings that it omits get their defaults, so an empty element enables
// the section.
func (a *Admin) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Admin
	p := plain{Listen: "127.0.0.1:18090"}
	err := d.DecodeElement(&p, &start)
	*a = Admin(p)
	return err
}

// UnmarshalXML decodes a <ledger> element. Settings that it omits get their defaults, so an empty element enables
// the section.
func (l *Ledger) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Ledger
	p := plain{
		SettleInterval: Duration(5 * time.Second),
		KeepHours:      Duration(7 * day),
		KeepDays:       Duration(92 * day),
	}
	err := d.DecodeElement(&p, &start)
	*l = Ledger(p)
	return err
}

// UnmarshalXML decodes a <fair-share> element. Settings that it omits get their defaults, so an empty element
// enables the section.
func (f *FairShare) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain FairShare
	p := plain(defaultFairShare())
	err := d.DecodeElement(&p, &start)
	*f = FairShare(p)
	return err
}

// UnmarshalXML decodes a <requests> element. Settings that it omits get their defaults, so an empty element enables
// the section.
func (r *Routing) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Routing
	p := plain{RetryRatio: 0.2, MinHedgeDelay: Duration(150 * time.Millisecond), MaxConcurrent: 256}
	err := d.DecodeElement(&p, &start)
	*r = Routing(p)
	return err
}

// UnmarshalXML decodes a <rollout> element. Settings that it omits get their defaults, so an empty element enables
// the section.
func (r *Rollout) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Rollout
	p := plain{SettleTime: Duration(5 * time.Minute)}
	err := d.DecodeElement(&p, &start)
	*r = Rollout(p)
	return err
}

// defaultFairShare returns the default settings. The ledger uses them for decayed usage if fair share is disabled.
func defaultFairShare() FairShare { return FairShare{HalfLife: Duration(day), GPUWeight: 8} }
