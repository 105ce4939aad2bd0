// Command glentiller is a cluster scheduler's controller. The README tells how
// to run it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/controller"
)

// version is set when a release is built.
var version = "dev"

type configFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Operator string `placeholder:"FILE" help:"The operators' settings (XML). Without it the defaults hold."`
}

func (f *configFlags) load() (*config.Platform, *config.Operator, error) {
	p, err := config.ReadPlatform(f.Config)
	if err != nil {
		return nil, nil, err
	}
	o := config.Defaults()
	if f.Operator != "" {
		if o, err = config.ReadOperator(f.Operator); err != nil {
			return nil, nil, err
		}
	}
	if err := config.CheckConsistency(p, o); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.Operator, err)
	}
	return p, o, nil
}

type serveCmd struct {
	configFlags
	Profile string `placeholder:"FILE" help:"Write a profile of the processor's time there, from the start to the end."`
}

// Run serves until the process is told to end.
func (c *serveCmd) Run() error {
	p, o, err := c.load()
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		if err := level.UnmarshalText([]byte(v)); err != nil {
			return fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	// A controller has a fraction of one core: more threads would only wait for
	// each other.
	runtime.GOMAXPROCS(1)
	if mb := p.Deployment.Limits.MemMB; mb > 0 {
		// The heap is small beside the memory there is, so it is collected rarely; the
		// limit holds all the same.
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(mb * heapShare * (1 << 20)))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Profile != "" {
		done, err := startProfile(ctx, c.Profile)
		if err != nil {
			return err
		}
		defer done()
	}
	return controller.New(p, o, version, log).Run(ctx)
}

// startProfile writes a profile of the processor's time to a file, until the context ends: what comes after that are
// connections that are closed. done waits for the file to be whole.
func startProfile(ctx context.Context, path string) (done func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	written := make(chan struct{})
	context.AfterFunc(ctx, func() {
		pprof.StopCPUProfile()
		_ = f.Close() // a profile that is cut short is told of by whoever reads it
		close(written)
	})
	return func() { <-written }, nil
}

// gcPercent lets the heap grow to four times what lives in it.
const gcPercent = 300

// heapShare is the part of the machine's memory that the Go heap may fill
// before it is collected harder; the rest is for stacks, code and buffers.
const heapShare = 0.6

type checkCmd struct{ configFlags }

// Run checks the settings and says so.
func (c *checkCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	_, err := fmt.Println("the settings are good")
	return err
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println("glentiller", version)
	return err
}

func main() {
	var cli struct {
		Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller."`
		Check   checkCmd   `cmd:"" help:"Check the settings."`
		Version versionCmd `cmd:"" help:"Print the version."`

		Ledger ledgerCmd `cmd:"" help:"Who used what, and why who waited."`
		Shares sharesCmd `cmd:"" help:"The teams' standings by fair share."`

		Rollout rolloutCmd `cmd:"" help:"Features that all members must have."`
		Member  memberCmd  `cmd:"" help:"Where a controller stands in the election."`

		Explain     explainCmd     `cmd:"" help:"Why a job's tasks wait, and why the others are where they are."`
		Constraints constraintsCmd `cmd:"" help:"Rules of submissions."`
	}
	ctx := kong.Parse(&cli, kong.Name("glentiller"), kong.Description("A cluster scheduler's controller."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "glentiller:", err)
		os.Exit(1)
	}
}
