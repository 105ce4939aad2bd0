package store

import (
	"context"
	"strconv"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// Keys and key prefixes of the leader's records, except those of jobs and of the ledger.
const (
	numberedTasksPrefix = "tasks/" // finished tasks by job and chunk number, the layout of the first version
	taskRangePrefix     = "part/"  // finished tasks by job and first task
	layoutPrefix        = "layout/"
	layoutKey           = "layout/numbered" // number of tasks in a numbered chunk
	machinePrefix       = "machine/"
	gpuDemandPrefix     = "need/" // resources per task of jobs that need GPUs
)

// maxChunkNumber bounds the numbers of chunks. This program never writes a larger one.
const maxChunkNumber = 1 << 20

// ReadSnapshot reads the records that a new leader needs, except those of jobs, which JobCache.AddToSnapshot adds.
// The teams' accounts are included if accounts is true. There is one account record per team, however old the
// ledger is.
func (c *Client) ReadSnapshot(ctx context.Context, accounts bool) (*record.Snapshot, error) {
	snap := &record.Snapshot{FinishedTasks: map[string]map[model.Chunk][]byte{}}
	if accounts {
		stored, err := c.Accounts(ctx)
		if err != nil {
			return nil, err
		}
		snap.Accounts = stored
	}
	for _, read := range []func(context.Context, *record.Snapshot) error{
		c.readFinishedTasks,
		c.readChunkLayout,
		c.readMachines,
		c.readGPUDemands,
	} {
		if err := read(ctx, snap); err != nil {
			return nil, err
		}
	}
	return snap, nil
}

func (c *Client) readFinishedTasks(ctx context.Context, snap *record.Snapshot) error {
	for _, prefix := range []string{numberedTasksPrefix, taskRangePrefix} {
		entries, _, err := c.List(ctx, prefix)
		if err != nil {
			return err
		}
		for _, e := range entries {
			id, number, _ := strings.Cut(e.Key[len(prefix):], "/")
			n, err := strconv.Atoi(number)
			if err != nil || n < 0 || n > maxChunkNumber {
				return &RecordError{Key: e.Key, Err: err}
			}
			bits, err := wire.DecodeFinishedTasks(e.Value)
			if err != nil {
				return &RecordError{Key: e.Key, Err: err}
			}
			if snap.FinishedTasks[id] == nil {
				snap.FinishedTasks[id] = map[model.Chunk][]byte{}
			}
			chunk := model.Chunk{StartsAtTask: prefix == taskRangePrefix, Number: n}
			snap.FinishedTasks[id][chunk] = bits
		}
	}
	return nil
}

func (c *Client) readChunkLayout(ctx context.Context, snap *record.Snapshot) error {
	entries, _, err := c.List(ctx, layoutPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Key != layoutKey {
			continue
		}
		if snap.NumberedChunkTasks, err = wire.DecodeChunkLayout(e.Value); err != nil {
			return &RecordError{Key: e.Key, Err: err}
		}
	}
	return nil
}

func (c *Client) readMachines(ctx context.Context, snap *record.Snapshot) error {
	entries, _, err := c.List(ctx, machinePrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		machine, err := wire.DecodeMachine(e.Key[len(machinePrefix):], e.Value)
		if err != nil {
			return &RecordError{Key: e.Key, Err: err}
		}
		snap.Machines = append(snap.Machines, machine)
	}
	return nil
}

func (c *Client) readGPUDemands(ctx context.Context, snap *record.Snapshot) error {
	entries, _, err := c.List(ctx, gpuDemandPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		demand, err := wire.DecodeGPUDemand(e.Value)
		if err != nil {
			return &RecordError{Key: e.Key, Err: err}
		}
		snap.GPUDemands = append(snap.GPUDemands, demand)
	}
	return nil
}
