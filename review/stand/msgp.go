package main

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// A small MessagePack codec: maps with text keys, lists, text, numbers, booleans and null. A value that is not decoded
// is kept as raw.

type raw []byte

var errShort = errors.New("short or unknown MessagePack")

func enc(v any) []byte { return appendValue(nil, v) }

func appendHeader(b []byte, fix byte, fixMax int, b16, b32 byte, n int) []byte {
	switch {
	case n <= fixMax:
		return append(b, fix|byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, b16), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, b32), uint32(n))
}

func appendValue(b []byte, v any) []byte {
	switch x := v.(type) {
	case nil:
		return append(b, 0xc0)
	case raw:
		return append(b, x...)
	case bool:
		if x {
			return append(b, 0xc3)
		}
		return append(b, 0xc2)
	case int:
		if x < 0 {
			return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(x))
		}
		return appendValue(b, uint64(x))
	case uint64:
		if x < 128 {
			return append(b, byte(x))
		}
		return binary.BigEndian.AppendUint64(append(b, 0xcf), x)
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(x))
	case string:
		if len(x) >= 32 && len(x) < 256 {
			b = append(b, 0xd9, byte(len(x)))
		} else {
			b = appendHeader(b, 0xa0, 31, 0xda, 0xdb, len(x))
		}
		return append(b, x...)
	case []string:
		b = appendHeader(b, 0x90, 15, 0xdc, 0xdd, len(x))
		for _, s := range x {
			b = appendValue(b, s)
		}
		return b
	case []any:
		b = appendHeader(b, 0x90, 15, 0xdc, 0xdd, len(x))
		for _, s := range x {
			b = appendValue(b, s)
		}
		return b
	case map[string]any:
		keys := make([]string, 0, len(x))
		for k := range x {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		b = appendHeader(b, 0x80, 15, 0xde, 0xdf, len(x))
		for _, k := range keys {
			b = appendValue(appendValue(b, k), x[k])
		}
		return b
	}
	panic("unknown type")
}

func dec(b []byte) (map[string]any, error) {
	v, _, err := decValue(b)
	m, ok := v.(map[string]any)
	if err == nil && !ok {
		err = errShort
	}
	return m, err
}

func uintN(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, errShort
	}
	var v uint64
	for _, c := range b[:n] {
		v = v<<8 | uint64(c)
	}
	return v, b[n:], nil
}

func decValue(b []byte) (any, []byte, error) {
	if len(b) == 0 {
		return nil, nil, errShort
	}
	c, b := b[0], b[1:]
	switch {
	case c < 0x80:
		return uint64(c), b, nil
	case c < 0x90:
		return decMap(b, uint64(c&15))
	case c < 0xa0:
		return decList(b, uint64(c&15))
	case c < 0xc0:
		return decText(b, uint64(c&31))
	case c >= 0xe0:
		return float64(int8(c)), b, nil
	}
	size := map[byte]int{0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
		0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4}[c]
	n, rest, err := uintN(b, size)
	if err != nil {
		return nil, nil, err
	}
	switch c {
	case 0xc0:
		return nil, b, nil
	case 0xc2, 0xc3:
		return c == 0xc3, b, nil
	case 0xca:
		return float64(math.Float32frombits(uint32(n))), rest, nil
	case 0xcb:
		return math.Float64frombits(n), rest, nil
	case 0xcc, 0xcd, 0xce, 0xcf:
		return n, rest, nil
	case 0xd0, 0xd1, 0xd2, 0xd3:
		shift := 64 - 8*size
		if v := int64(n<<shift) >> shift; v < 0 {
			return float64(v), rest, nil
		}
		return n, rest, nil
	case 0xd9, 0xda, 0xdb:
		return decText(rest, n)
	case 0xdc, 0xdd:
		return decList(rest, n)
	case 0xde, 0xdf:
		return decMap(rest, n)
	}
	return nil, nil, errShort
}

func decText(b []byte, n uint64) (any, []byte, error) {
	if uint64(len(b)) < n {
		return nil, nil, errShort
	}
	return string(b[:n]), b[n:], nil
}

func decList(b []byte, n uint64) (any, []byte, error) {
	list := []any{}
	for ; n > 0; n-- {
		v, rest, err := decValue(b)
		if err != nil {
			return nil, nil, err
		}
		list, b = append(list, v), rest
	}
	return list, b, nil
}

func decMap(b []byte, n uint64) (any, []byte, error) {
	m := map[string]any{}
	for ; n > 0; n-- {
		k, rest, err := decValue(b)
		if err != nil {
			return nil, nil, err
		}
		key, ok := k.(string)
		if !ok {
			return nil, nil, errShort
		}
		v, rest, err := decValue(rest)
		if err != nil {
			return nil, nil, err
		}
		m[key], b = v, rest
	}
	return m, b, nil
}

func str(v any) string { s, _ := v.(string); return s }

func num(v any) float64 {
	switch x := v.(type) {
	case uint64:
		return float64(x)
	case float64:
		return x
	case int:
		return float64(x)
	}
	return 0
}

func whole(v any) uint64 {
	switch x := v.(type) {
	case uint64:
		return x
	case float64:
		return uint64(x)
	}
	return 0
}

func boolean(v any) bool { b, _ := v.(bool); return b }

func list(v any) []any { l, _ := v.([]any); return l }

func object(v any) map[string]any { m, _ := v.(map[string]any); return m }
