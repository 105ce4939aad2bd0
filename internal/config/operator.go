package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// minSecretLength is the minimum length of a token or key, in bytes.
const minSecretLength = 16

// Operator holds the settings in the operators' file. deploy/operator.xml explains every setting and shows its
// default.
type Operator struct {
	XMLName    xml.Name   `xml:"glentiller"`
	Leadership Leadership `xml:"leadership"`
	Scheduler  Scheduler  `xml:"scheduler"`
	Autoscaler Autoscaler `xml:"fleet"`
	Workers    Workers    `xml:"workers"`
	HTTPAPI    HTTPAPI    `xml:"front"`

	// The optional sections. Each is nil if the file lacks its element.
	Admin       *Admin       `xml:"admin"`
	Ledger      *Ledger      `xml:"ledger"`
	FairShare   *FairShare   `xml:"fair-share"`
	Constraints *Constraints `xml:"constraints"`
	Votes       *Votes       `xml:"promises"`
	Routing     *Routing     `xml:"requests"`
	Rollout     *Rollout     `xml:"rollout"`
	Relay       *Relay       `xml:"courier"`
	unknownSettings
}

// Leadership holds the settings of the leader election.
type Leadership struct {
	Lease         Duration `xml:"lease"`  // duration of the leader's lease at the state service
	SafetyMargin  Duration `xml:"margin"` // time by which the leadership ends before the lease can expire
	PollInterval  Duration `xml:"look"`   // time between reads of the leader's keys
	RetryInterval Duration `xml:"retry"`  // delay after a failed renewal or read
	unknownSettings
}

// Scheduler holds the settings of scheduling passes. scheduler.Settings describes those without a comment here.
type Scheduler struct {
	IdlePowerFraction    float64  `xml:"idle-power"`
	PromoteAfter         Duration `xml:"overtake"`
	PromoteDeadlineAfter Duration `xml:"overtake-late"`
	PassInterval         Duration `xml:"pass"`  // minimum time between passes
	FlushInterval        Duration `xml:"flush"` // time between writes of finished-task records
	PreemptForGuarantees bool     `xml:"preempt-for-guarantees"`
	MaxPreemptions       int      `xml:"preempt-most"`
	MaxStarts            int      `xml:"start-most"`
	MinRuntime           Duration `xml:"min-run"`
	ImageFirst           bool     `xml:"production-image-first"`
	TightSlack           Duration `xml:"tight"`
	ExpensiveFactor      float64  `xml:"dear"`
	ConsolidateInterval  Duration `xml:"consolidate"` // time between moves of service replicas; 0 disables moves
	FetchByDeadline      bool     `xml:"fetch-in-time"`
	Drain                bool     `xml:"vacate"`
	StarvationBound      Duration `xml:"begin-within"`
	Backoff              Duration `xml:"backoff"`      // first retry delay of a job whose tasks fail on several machines; it doubles
	MaxBackoff           Duration `xml:"backoff-most"` // upper bound of the doubled Backoff
	unknownSettings
}

// Autoscaler holds the settings for provisioning and releasing machines. autoscaler.Settings describes those
// without a comment here.
type Autoscaler struct {
	IdleTimeout        Duration `xml:"keep-idle"`
	IdleBootFactor     float64  `xml:"keep-boots"`
	MinBilledTime      Duration `xml:"least-paid"`
	SpotIdleFactor     float64  `xml:"keep-spot"`
	BootTimeoutFactor  float64  `xml:"boot-factor"`
	BootTimeoutExtra   Duration `xml:"boot-extra"`
	RefusalBackoff     Duration `xml:"refused"`
	LookaheadBootTimes float64  `xml:"soon-boots"`
	ListInterval       Duration `xml:"list"`    // time between reads of the cloud's machine list
	CatalogInterval    Duration `xml:"catalog"` // time between reads of the cloud's catalog
	unknownSettings
}

// Workers holds the settings for monitoring workers and sending commands to them.
type Workers struct {
	LeaseMargin          Duration `xml:"lease-margin"` // added to a worker's lease before it counts as expired
	UnresponsiveAfter    Duration `xml:"silent-after"` // 0 means that it is derived from the heartbeat interval
	MaxUnresponsiveShare float64  `xml:"silent-share"` // fraction of machines; if more are unresponsive, a partition is assumed
	MachineFaultErrors   int      `xml:"sick-errors"`  // number of failing jobs that make a machine count as faulty
	CommandTimeout       Duration `xml:"direct-wait"`  // timeout of a command that is sent directly to a worker
	CommandHoldOff       Duration `xml:"direct-hold"`  // pause in direct commands to a machine that did not answer one
	unknownSettings
}

// HTTPAPI holds the settings of the users' interface.
type HTTPAPI struct {
	StateTimeout       Duration `xml:"state-timeout"` // timeout of one request to the state service
	RetryAfter         Duration `xml:"retry-after"`   // lower bound of the Retry-After header
	MaxCachedEndedJobs int      `xml:"keep-ended"`    // maximum number of ended jobs in the cache
	unknownSettings
}

// Defaults returns the settings that apply without an operators' file. All optional sections are nil.
func Defaults() *Operator {
	return &Operator{
		Leadership: Leadership{
			Lease:         Duration(4 * time.Second),
			SafetyMargin:  Duration(200 * time.Millisecond),
			PollInterval:  Duration(2 * time.Second),
			RetryInterval: Duration(250 * time.Millisecond),
		},
		Scheduler: defaultScheduler(),
		Autoscaler: Autoscaler{
			IdleTimeout:        Duration(20 * time.Second),
			IdleBootFactor:     1,
			MinBilledTime:      Duration(time.Minute),
			SpotIdleFactor:     4,
			BootTimeoutFactor:  2.5,
			BootTimeoutExtra:   Duration(5 * time.Second),
			RefusalBackoff:     Duration(15 * time.Second),
			LookaheadBootTimes: 1,
			ListInterval:       Duration(5 * time.Second),
			CatalogInterval:    Duration(time.Minute),
		},
		Workers: Workers{
			LeaseMargin:          Duration(500 * time.Millisecond),
			MaxUnresponsiveShare: 0.34,
			MachineFaultErrors:   2,
			CommandTimeout:       Duration(1500 * time.Millisecond),
			CommandHoldOff:       Duration(3 * time.Second),
		},
		HTTPAPI: HTTPAPI{
			StateTimeout:       Duration(1200 * time.Millisecond),
			RetryAfter:         Duration(time.Second),
			MaxCachedEndedJobs: 50_000,
		},
	}
}

func defaultScheduler() Scheduler {
	return Scheduler{
		IdlePowerFraction:    0.7,
		PromoteAfter:         Duration(time.Minute),
		PromoteDeadlineAfter: Duration(15 * time.Minute),
		PassInterval:         Duration(50 * time.Millisecond),
		FlushInterval:        Duration(500 * time.Millisecond),
		PreemptForGuarantees: true,
		MaxPreemptions:       16,
		MinRuntime:           Duration(30 * time.Second),
		ImageFirst:           true,
		TightSlack:           Duration(30 * time.Second),
		ExpensiveFactor:      2,
		ConsolidateInterval:  Duration(time.Second),
		Backoff:              Duration(4 * time.Second),
		MaxBackoff:           Duration(time.Minute),
	}
}

// ReadOperator reads and checks the operators' file, and reads the secrets whose files it names. Settings that the
// file omits keep their defaults. An unknown element or attribute is an error.
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
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if text, ok := token.(xml.CharData); err != nil || !ok || len(bytes.TrimSpace(text)) > 0 {
			return nil, errors.New("unexpected content after </glentiller>")
		}
	}
	if err := o.checkUnknown(); err != nil {
		return nil, err
	}
	return o, errors.Join(o.validateOptional(), o.validate())
}

// ReadSecret reads a token or a key from a file. The file must hold a single line of at least 16 bytes; white space
// around it is removed.
func ReadSecret(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if b = bytes.TrimSpace(b); len(b) < minSecretLength || bytes.ContainsAny(b, "\r\n") {
		return nil, fmt.Errorf("%s: a secret must be a single line of at least %d characters", path, minSecretLength)
	}
	return b, nil
}
