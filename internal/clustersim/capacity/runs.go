package capacity

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// runsPattern matches the files that Read reads.
const runsPattern = "runs*.jsonl"

// maxLineBytes bounds the size of one run.
const maxLineBytes = 1 << 20

// Errors of Read.
var (
	ErrNoRuns = errors.New("no " + runsPattern + " with a run in it")
	ErrNotRun = errors.New("not a run")
)

// Read reads the runs of all files of a folder whose names match runs*.jsonl: one JSON object a line.
func Read(folder string) ([]scale.Result, error) {
	paths, err := filepath.Glob(filepath.Join(folder, runsPattern))
	if err != nil {
		return nil, err
	}
	var all []scale.Result
	for _, path := range paths {
		runs, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: %w", folder, ErrNoRuns)
	}
	return all, nil
}

// readFile reads the runs of one file.
func readFile(path string) ([]scale.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // only read
	var runs []scale.Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var run scale.Result
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if run.Regions < 1 || run.Workers < 1 || run.Seconds <= 0 {
			return nil, fmt.Errorf("%s:%d: %w", path, n, ErrNotRun)
		}
		runs = append(runs, run)
	}
	return runs, lines.Err()
}
