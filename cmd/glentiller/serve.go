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
	// gcPercent lets the heap grow to four times the live data between collections. The live data is small compared
	// with the memory of the machine.
	gcPercent = 300

	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the machine's memory limit. Above
	// it the garbage collector runs more often. The rest is for stacks, code and buffers.
	memoryLimitFraction = 0.6
)

// configFlags holds the paths of the settings files.
type configFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"Platform's settings (TOML)."`
	Operator string `placeholder:"FILE" help:"Operators' settings (XML); without it, the defaults apply."`
}

// load reads both settings files, checks each one, and checks that they are consistent with each other.
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

// Run checks the settings. It prints a message if they are valid and returns an error otherwise.
func (c *checkCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	_, err := fmt.Println("the settings are valid")
	return err
}

type serveCmd struct {
	configFlags
	Profile string `placeholder:"FILE" help:"Write a CPU profile of the whole run to this file."`
}

// Run runs a controller until the process receives SIGINT or SIGTERM.
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

// logLevel returns the level that the environment variable LOG_LEVEL names, or info if it is not set.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	value := os.Getenv("LOG_LEVEL")
	if value == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(value)); err != nil {
		return level, fmt.Errorf("invalid environment variable LOG_LEVEL: %w", err)
	}
	return level, nil
}

// limitResources adapts the Go runtime to the machine of a controller. The machine has a fraction of one core, so
// more threads would only wait for each other. It has memMB megabytes of memory; 0 means that no limit is known.
func limitResources(memMB float64) {
	runtime.GOMAXPROCS(1)
	if memMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memMB * memoryLimitFraction * (1 << 20)))
	}
}

// startProfile starts a CPU profile, which is written to the file when ctx ends. The profile does not cover what a
// controller does after that, which is to close its connections. The returned wait function blocks until ctx has
// ended and the file is complete.
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
		_ = f.Close() // a truncated profile is reported by the tool that reads it
		close(written)
	})
	return func() { <-written }, nil
}
