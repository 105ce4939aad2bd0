// Package cgo links the program against the system's C library, as the machines
// that it runs on ask for.
package cgo

// #include <stdlib.h>
import "C"
