// Package wire holds the stand-ins of the second review: the state service, the cloud, the workers and the users of a
// small deployment, on loopback addresses, with the published messages. It uses the standard library alone.
package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// Map is a decoded map. Raw is an encoded value that is passed on as it is.
type (
	Map = map[string]any
	Raw []byte
)

var errShort = errors.New("message ends early")

// Encode returns the MessagePack encoding of a value.
func Encode(v any) []byte { return appendValue(nil, v) }

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(b, 0xc0)
	case Raw:
		return append(b, v...)
	case bool:
		if v {
			return append(b, 0xc3)
		}
		return append(b, 0xc2)
	case int:
		if v < 0 {
			return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(v))
		}
		return appendValue(b, uint64(v))
	case uint64:
		if v < 128 {
			return append(b, byte(v))
		}
		return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(v))
	case string:
		if len(v) < 32 {
			return append(append(b, 0xa0|byte(len(v))), v...)
		}
		return append(binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(len(v))), v...)
	case []any:
		b = binary.BigEndian.AppendUint32(append(b, 0xdd), uint32(len(v)))
		for _, item := range v {
			b = appendValue(b, item)
		}
		return b
	case []string:
		b = binary.BigEndian.AppendUint32(append(b, 0xdd), uint32(len(v)))
		for _, item := range v {
			b = appendValue(b, item)
		}
		return b
	case Map:
		b = binary.BigEndian.AppendUint32(append(b, 0xdf), uint32(len(v)))
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			b = appendValue(appendValue(b, k), v[k])
		}
		return b
	}
	panic("no encoding for this type")
}

// Decode decodes one value. Integers become uint64 or int, lists []any, maps Map.
func Decode(b []byte) (any, error) {
	v, rest, err := decodeValue(b)
	if err == nil && len(rest) > 0 {
		err = errors.New("trailing bytes")
	}
	return v, err
}

// DecodeMap decodes a map.
func DecodeMap(b []byte) Map {
	v, err := Decode(b)
	m, ok := v.(Map)
	if err != nil || !ok {
		return Map{}
	}
	return m
}

func take(b []byte, n int) ([]byte, []byte, error) {
	if n < 0 || len(b) < n {
		return nil, nil, errShort
	}
	return b[:n], b[n:], nil
}

func number(b []byte, n int) (uint64, []byte, error) {
	part, rest, err := take(b, n)
	if err != nil {
		return 0, nil, err
	}
	var v uint64
	for _, c := range part {
		v = v<<8 | uint64(c)
	}
	return v, rest, nil
}

func decodeValue(b []byte) (any, []byte, error) {
	if len(b) == 0 {
		return nil, nil, errShort
	}
	c, b := b[0], b[1:]
	text := func(n uint64, b []byte, err error) (any, []byte, error) {
		if err != nil {
			return nil, nil, err
		}
		part, rest, err := take(b, int(n))
		return string(part), rest, err
	}
	switch {
	case c < 0x80:
		return uint64(c), b, nil
	case c < 0x90:
		return decodeItems(uint64(c&15), b, nil, true)
	case c < 0xa0:
		return decodeItems(uint64(c&15), b, nil, false)
	case c < 0xc0:
		return text(uint64(c&31), b, nil)
	case c >= 0xe0:
		return int(int8(c)), b, nil
	}
	switch c {
	case 0xc0:
		return nil, b, nil
	case 0xc2, 0xc3:
		return c == 0xc3, b, nil
	case 0xca:
		v, rest, err := number(b, 4)
		return float64(math.Float32frombits(uint32(v))), rest, err
	case 0xcb:
		v, rest, err := number(b, 8)
		return math.Float64frombits(v), rest, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		v, rest, err := number(b, 1<<(c-0xcc))
		return v, rest, err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		n := 1 << (c - 0xd0)
		v, rest, err := number(b, n)
		signed := int64(v<<(64-8*n)) >> (64 - 8*n)
		if signed >= 0 {
			return uint64(signed), rest, err
		}
		return int(signed), rest, err
	case 0xd9, 0xda, 0xdb:
		return text(number(b, 1<<(c-0xd9)))
	case 0xdc, 0xdd:
		n, rest, err := number(b, 2<<(c-0xdc))
		return decodeItems(n, rest, err, false)
	case 0xde, 0xdf:
		n, rest, err := number(b, 2<<(c-0xde))
		return decodeItems(n, rest, err, true)
	}
	return nil, nil, errors.New("unexpected type")
}

func decodeItems(n uint64, b []byte, err error, isMap bool) (any, []byte, error) {
	if err != nil {
		return nil, nil, err
	}
	m, list := Map{}, []any{}
	for ; n > 0; n-- {
		var key, v any
		if isMap {
			if key, b, err = decodeValue(b); err != nil {
				return nil, nil, err
			}
		}
		if v, b, err = decodeValue(b); err != nil {
			return nil, nil, err
		}
		if name, ok := key.(string); ok {
			m[name] = v
		} else {
			list = append(list, v)
		}
	}
	if isMap {
		return m, b, nil
	}
	return list, b, nil
}

func text(v any) string  { s, _ := v.(string); return s }
func truth(v any) bool   { t, _ := v.(bool); return t }
func items(v any) []any  { l, _ := v.([]any); return l }
func fields(v any) Map   { m, _ := v.(Map); return m }
func whole(v any) uint64 { n, _ := v.(uint64); return n }
func amount(v any) float64 {
	switch v := v.(type) {
	case float64:
		return v
	case uint64:
		return float64(v)
	case int:
		return float64(v)
	}
	return 0
}
