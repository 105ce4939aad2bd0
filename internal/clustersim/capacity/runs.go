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

// runsPattern is the glob pattern of the names of the files that Read loads.
const runsPattern = "runs*.jsonl"

// maxLineBytes bounds a line of a file, which holds one run.
const maxLineBytes = 1 << 20

// Errors of Read.
var (
	// ErrNoRuns means that no file matches runs*.jsonl, or that all such files are empty.
	ErrNoRuns = errors.New("no runs in " + runsPattern + " files")
	// ErrNotRun means that a line is a JSON object, but lacks the workers, regions or duration of a run.
	ErrNotRun = errors.New("not a run: want positive workers, regions and seconds")
)

// Read loads the runs from all files of a folder whose names match runs*.jsonl. Each line of a file is one run as a
// JSON object. Read returns ErrNoRuns if there is none, and an error with the file and line for the first invalid
// one.
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

// readFile loads the runs of one file.
func readFile(path string) ([]scale.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	var runs []scale.Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		var run scale.Result
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, err)
		}
		if run.Regions < 1 || run.Workers < 1 || run.Seconds <= 0 {
			return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, ErrNotRun)
		}
		runs = append(runs, run)
	}
	return runs, lines.Err()
}
