package main

// The platform's machines expect a program that is linked against the system's
// C library; importing "C" makes the Go tool do so.

// #include <stdlib.h>
import "C"
