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

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/controller"
)

const (
	// gcPercent lets the heap grow to four times what is live in it: it is small beside the memory there is.
	gcPercent = 300

	// heapShare is the fraction of the memory limit that the Go heap may fill before it is collected harder;
	// the rest is for stacks, code and buffers.
	heapShare = 0.6
)

// configFlags name the files with the settings.
type configFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Operator string `placeholder:"FILE" help:"The operators' settings (XML). Without it the defaults hold."`
}

// load reads and checks the settings.
func (f *configFlags) load() (*config.Platform, *config.Operator, error) {
	platform, err := config.ReadPlatform(f.Config)
	if err != nil {
		return nil, nil, err
	}
	operator := config.Defaults()
	if f.Operator != "" {
		if operator, err = config.ReadOperator(f.Operator); err != nil {
			return nil, nil, err
		}
	}
	if err := config.CheckConsistency(platform, operator); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.Operator, err)
	}
	return platform, operator, nil
}

type checkCmd struct{ configFlags }

// Run checks the settings and says so.
func (c *checkCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	_, err := fmt.Println("the settings are good")
	return err
}

type serveCmd struct {
	configFlags
	Profile string `placeholder:"FILE" help:"Write a profile of the processor's time there, from the start to the end."`
}

// Run serves until the process gets an interrupt or SIGTERM.
func (c *serveCmd) Run() error {
	platform, operator, err := c.load()
	if err != nil {
		return err
	}
	level, err := logLevel()
	if err != nil {
		return err
	}
	limitResources(platform.Deployment.Limits.MemMB)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Profile != "" {
		wait, err := startProfile(ctx, c.Profile)
		if err != nil {
			return err
		}
		defer wait()
	}
	return controller.New(platform, operator, version, log).Run(ctx)
}

// logLevel reads LOG_LEVEL; unset, it is info.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	value := os.Getenv("LOG_LEVEL")
	if value == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(value)); err != nil {
		return level, fmt.Errorf("LOG_LEVEL: %w", err)
	}
	return level, nil
}

// limitResources fits the Go runtime to what a controller gets: a fraction of one core, so that more threads
// would only wait for each other, and memMB of memory (0: no limit).
func limitResources(memMB float64) {
	runtime.GOMAXPROCS(1)
	if memMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memMB * heapShare * (1 << 20)))
	}
}

// startProfile writes a profile of the processor's time to a file until ctx ends; after that a controller
// only closes its connections. wait returns once the file is complete.
func startProfile(ctx context.Context, path string) (wait func(), err error) {
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
		_ = f.Close() // the reader of a profile that was cut short reports it
		close(written)
	})
	return func() { <-written }, nil
}
