package golden

import (
	"encoding/json"
	"testing"
)

// CheckJSON fails the test if the JSON encoding of a T that Fill has set differs from the golden file called name
// with the suffix .json, or if decoding that file does not return the same T.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	var want, got T
	Fill(&want)
	encoded, err := json.MarshalIndent(&want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(Check(t, name+".json", append(encoded, '\n')), &got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Equal(t, name, got, want)
}
