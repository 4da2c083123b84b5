package capacity

import (
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// ProcessorTime returns the user and system CPU time that this process has used.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the bytes of live heap objects and of stacks, after a
// garbage collection.
func MemoryInUse() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
