// Package golden compares what tests make with files under testdata/golden of their package. The files hold what is
// sent and stored, byte by byte, so that a change of the code's names can't change a message or a record. They are
// written anew only by an explicit
//
//	go test ./internal/wire -update
//
// and a difference in them is a change of a published or stored form. Only tests import this package.
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

var update = flag.Bool("update", false, "write the golden files anew")

// Check compares bytes with the golden file of a name, and returns what the file holds.
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

// CheckMessagePack compares a MessagePack value with the golden file of a name, which holds it as JSON for people and
// as hexadecimal digits for the comparison. It returns the bytes that the file holds.
func CheckMessagePack(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	want := Check(t, name+".txt", []byte(JSON(t, got)+"\n"+hex.EncodeToString(got)+"\n"))
	_, digits, _ := strings.Cut(strings.TrimSpace(string(want)), "\n")
	b, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b
}

// JSON is a MessagePack value as text, its fields in their order.
func JSON(t *testing.T, value []byte) string {
	t.Helper()
	var out bytes.Buffer
	rest, err := msgp.UnmarshalAsJSON(&out, value)
	if err != nil || len(rest) > 0 {
		t.Fatalf("%x is not one MessagePack value: %d bytes behind it, %v", value, len(rest), err)
	}
	return out.String()
}

// Equal fails the test where a value that was read back is not the one that was written.
func Equal(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read back as\n%+v\nwant\n%+v", name, got, want)
	}
}

// Fill sets every exported field of what a pointer points to, and of what that holds, to a value of its own that is not
// zero: lists and maps get one entry.
func Fill(pointer any) {
	n := 0
	fill(reflect.ValueOf(pointer).Elem(), &n)
}

func fill(v reflect.Value, n *int) {
	*n++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1_790_000_000+int64(*n), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	default:
		panic("no value for " + v.Type().String())
	}
}
