package controller

import (
	"runtime"
	"strings"
	"testing"
)

// holdSmallObjects allocates objects of 64 bytes with the given total size.
func holdSmallObjects(totalBytes int) []*[64]byte {
	objects := make([]*[64]byte, totalBytes/64)
	for i := range objects {
		objects[i] = new([64]byte)
	}
	return objects
}

// Guards against a log that does not say which part of the program takes the memory. Only about one in 8,000 of the
// small allocations of this test is sampled.
func TestLargestHeapUserIsNamedWithItsSize(t *testing.T) {
	const heldBytes = 64 << 20
	objects := holdSmallObjects(heldBytes)
	runtime.GC()
	users := largestHeapUsers(loggedHeapUsers)
	if len(users) == 0 || !strings.HasSuffix(users[0].function, "controller.holdSmallObjects") {
		t.Fatalf("largest heap users are %v, want holdSmallObjects first", users)
	}
	if got := users[0].bytes; got < heldBytes/2 || got > heldBytes*2 {
		t.Errorf("holdSmallObjects is said to hold %d bytes, want about %d", got, heldBytes)
	}
	runtime.KeepAlive(objects)
}
