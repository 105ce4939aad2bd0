package golden

import (
	"encoding/json"
	"testing"
)

// CheckJSON fills a value, compares its JSON with the golden file of a name, and reads that back. Fill says which
// values it is filled with.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	var want, got T
	Fill(&want)
	b, err := json.MarshalIndent(&want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(Check(t, name+".json", append(b, '\n')), &got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Equal(t, name, got, want)
}
