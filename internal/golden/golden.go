// Package golden compares the output of tests with golden files in the directory testdata/golden of the tested
// package. Golden files contain messages and records byte by byte as they are sent or stored, so that a change of
// names in the code cannot change them unnoticed. A difference in a golden file is a change of a published or stored
// format. Golden files are written only on explicit request:
//
//	go test ./internal/wire -update
//
// Only tests import this package.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
)

var update = flag.Bool("update", false, "overwrite the golden files with the output of the tests")

// Check fails the test if got differs from the golden file called name. It returns the content of the file. With the
// flag -update it writes got to the file first.
func Check(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
	return want
}

// CheckMessagePack fails the test if the MessagePack value got differs from the golden file called name with the
// suffix .txt. The file contains the value twice: as JSON, which is readable, and as hexadecimal digits, which are
// exact. It returns the decoded digits.
func CheckMessagePack(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	want := Check(t, name+".txt", []byte(JSON(t, got)+"\n"+hex.EncodeToString(got)+"\n"))
	_, digits, _ := strings.Cut(strings.TrimSpace(string(want)), "\n")
	value, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// JSON converts a MessagePack value to JSON. Fields keep their order. It fails the test if value is not exactly one
// MessagePack value.
func JSON(t *testing.T, value []byte) string {
	t.Helper()
	var out bytes.Buffer
	rest, err := msgp.UnmarshalAsJSON(&out, value)
	if err != nil || len(rest) > 0 {
		t.Fatalf("%x is not exactly one MessagePack value: %d bytes follow it, error %v", value, len(rest), err)
	}
	return out.String()
}

// Equal fails the test if got, a value that was read back, is not deeply equal to want, the value that was written.
func Equal(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read back as\n%+v\nwant\n%+v", name, got, want)
	}
}

// Fill sets the variable that pointer points to, including all exported fields and elements in it, to non-zero
// values. Slices and maps get one element. The values are derived from a counter in the order of the fields, so that
// no two numbers, strings or times are equal and swapped fields are noticed. Fill panics if a type is not supported.
func Fill(pointer any) {
	counter := 0
	fill(reflect.ValueOf(pointer).Elem(), &counter)
}

// fill increments the counter and sets v to a value that is derived from it.
func fill(v reflect.Value, counter *int) {
	*counter++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1_790_000_000+int64(*counter), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), counter)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), counter)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, counter)
		fill(value, counter)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", *counter))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(*counter) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*counter))
	default:
		panic("golden: cannot fill a value of type " + v.Type().String())
	}
}
