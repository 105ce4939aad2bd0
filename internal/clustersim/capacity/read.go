package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// Read reads the runs from all files runs*.jsonl of a folder, one JSON object a line.
func Read(folder string) ([]scale.Result, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "runs*.jsonl"))
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
		return nil, fmt.Errorf("%s: no runs*.jsonl with a run in it", folder)
	}
	return all, nil
}

// maxLineBytes bounds a line of a file.
const maxLineBytes = 1 << 20

// readFile reads the runs of one file.
func readFile(path string) ([]scale.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	var runs []scale.Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var r scale.Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if r.Regions < 1 || r.Workers < 1 || r.Seconds <= 0 {
			return nil, fmt.Errorf("%s:%d: not a run", path, n)
		}
		runs = append(runs, r)
	}
	return runs, lines.Err()
}
