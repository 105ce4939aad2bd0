package main

// The platform's machines expect a program that is linked against the system's C library. Importing "C" makes the
// go command link it that way.

// #include <stdlib.h>
import "C"
