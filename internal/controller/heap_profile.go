package controller

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
)

const (
	modulePath      = "github.com/glentiller/glentiller/"
	loggedHeapUsers = 3  // heap users that the log names
	spareRecords    = 50 // room for allocation sites that are new since the profile's size was read
)

// heapUser is a function with the memory that it has allocated and that is still in use.
type heapUser struct {
	function string // without the path of the module
	bytes    int64  // estimate from the sampled allocations
}

// String formats a heap user for the log.
func (u heapUser) String() string { return fmt.Sprintf("%s %d MB", u.function, u.bytes>>20) }

// largestHeapUsers returns the n functions that use most of the heap, the largest first. What a library allocates is
// attributed to the function of this module that called the library. The figures are as of the last completed
// garbage collection.
func largestHeapUsers(n int) []heapUser {
	bytesByFunction := map[string]int64{}
	records := heapProfile()
	for i := range records {
		bytesByFunction[moduleFunction(records[i].Stack())] += unsampledBytes(&records[i])
	}
	users := make([]heapUser, 0, len(bytesByFunction))
	for function, bytes := range bytesByFunction {
		users = append(users, heapUser{function: function, bytes: bytes})
	}
	slices.SortFunc(users, func(a, b heapUser) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.function, b.function))
	})
	return users[:min(n, len(users))]
}

// heapProfile returns the allocation sites of which memory is in use.
func heapProfile() []runtime.MemProfileRecord {
	size, _ := runtime.MemProfile(nil, false)
	for {
		records := make([]runtime.MemProfileRecord, size+spareRecords)
		var ok bool
		if size, ok = runtime.MemProfile(records, false); ok {
			return records[:size]
		}
	}
}

// moduleFunction returns the innermost function of this module in a call stack, without the path of the module. If
// there is none, it returns the innermost function.
func moduleFunction(stack []uintptr) string {
	innermost := ""
	frames := runtime.CallersFrames(stack)
	for more := true; more; {
		var frame runtime.Frame
		frame, more = frames.Next()
		if function, ok := strings.CutPrefix(frame.Function, modulePath); ok {
			return strings.TrimPrefix(function, "internal/")
		}
		if innermost == "" {
			innermost = frame.Function
		}
	}
	return innermost
}

// unsampledBytes estimates the bytes in use at an allocation site from its sampled allocations. An allocation of s
// bytes is sampled with probability 1-exp(-s/runtime.MemProfileRate).
func unsampledBytes(record *runtime.MemProfileRecord) int64 {
	count, bytes := record.InUseObjects(), record.InUseBytes()
	if count == 0 || runtime.MemProfileRate <= 1 {
		return bytes
	}
	averageSize := float64(bytes) / float64(count)
	probability := -math.Expm1(-averageSize / float64(runtime.MemProfileRate))
	return int64(float64(bytes) / probability)
}
