package config

import (
	"encoding/xml"
	"time"
)

// Admin holds the settings of the operators' interface.
type Admin struct {
	Listen    string `xml:"listen"`
	TokenFile string `xml:"token-file"`
	Token     []byte `xml:"-"` // read from TokenFile
	unknownSettings
}

// Ledger holds the settings of the accounting.
type Ledger struct {
	SettleInterval Duration `xml:"settle"`
	KeepHours      Duration `xml:"keep-hours"`
	KeepDays       Duration `xml:"keep-days"`
	KeyFile        string   `xml:"key-file"` // "": segments have plain hashes
	Key            []byte   `xml:"-"`        // read from KeyFile
	unknownSettings
}

// FairShare holds the settings of the order of teams beyond their guarantees.
type FairShare struct {
	HalfLife     Duration     `xml:"half-life"`
	GPUWeight    float64      `xml:"gpu-weight"`
	MemoryWeight float64      `xml:"memory-weight"`
	Weights      []TeamWeight `xml:"weight"`
	unknownSettings
}

// TeamWeight is a team's weight beside those of the others.
type TeamWeight struct {
	Team  string  `xml:"team,attr"`
	Value float64 `xml:",chardata"`
}

// Constraints turns on the rules in submissions. There is nothing to set.
type Constraints struct{ unknownSettings }

// Votes turns on the votes of the other members for the leader, with which it keeps
// its lease during outages of the state service.
type Votes struct {
	Outage Duration `xml:"outage"` // length of a vote during an outage; 0: as otherwise
	unknownSettings
}

// Routing turns on the routing of users' requests around failures, to a member that
// can take them, within limits that adapt.
type Routing struct {
	RetryRatio    float64  `xml:"retries"`
	MinHedgeDelay Duration `xml:"hedge"`
	MaxConcurrent int      `xml:"most"`
	unknownSettings
}

// Rollout turns on the announcement of what the members' programs support, and the
// feature levels that come into force once all support them.
type Rollout struct {
	SettleTime Duration `xml:"steady"` // all must have supported the next level for so long, without a restart
	Paused     bool     `xml:"hold"`   // this member raises no level
	unknownSettings
}

// Relay turns on the relay of heartbeats through the state service to a leader that
// can't be reached. There is nothing to set.
type Relay struct{ unknownSettings }

// UnmarshalXML starts from the defaults: the element alone turns the section on.
func (a *Admin) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Admin
	p := plain{Listen: "127.0.0.1:18090"}
	err := d.DecodeElement(&p, &start)
	*a = Admin(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the section on.
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

// UnmarshalXML starts from the defaults: the element alone turns the section on.
func (f *FairShare) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain FairShare
	p := plain(defaultFairShare())
	err := d.DecodeElement(&p, &start)
	*f = FairShare(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the section on.
func (r *Routing) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Routing
	p := plain{RetryRatio: 0.2, MinHedgeDelay: Duration(150 * time.Millisecond), MaxConcurrent: 256}
	err := d.DecodeElement(&p, &start)
	*r = Routing(p)
	return err
}

// UnmarshalXML starts from the defaults: the element alone turns the section on.
func (r *Rollout) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	type plain Rollout
	p := plain{SettleTime: Duration(5 * time.Minute)}
	err := d.DecodeElement(&p, &start)
	*r = Rollout(p)
	return err
}

// defaultFairShare returns the defaults. The ledger keeps decayed usage by them even
// where fair share is off.
func defaultFairShare() FairShare { return FairShare{HalfLife: Duration(day), GPUWeight: 8} }
