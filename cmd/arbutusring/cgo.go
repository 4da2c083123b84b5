package main

// Importing C makes the linker use the C library, whose system calls are those
// of the host.

import "C"
