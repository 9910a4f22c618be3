package scale

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage is a reading of what this process has used.
type usage struct {
	at  time.Time
	cpu time.Duration
}

// readUsage returns the processor time of the process, user and system.
func readUsage() usage {
	var spent syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &spent) // fails only for an unknown argument
	return usage{at: time.Now(), cpu: time.Duration(spent.Utime.Nano() + spent.Stime.Nano())}
}

// since returns the cores used since an earlier reading.
func (u usage) since(earlier usage) float64 {
	return (u.cpu - earlier.cpu).Seconds() / u.at.Sub(earlier.at).Seconds()
}

// liveBytes returns the memory that the process holds in live objects and stacks, after a collection.
func liveBytes() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc + memory.StackInuse)
}

// reservedBytes returns what the process holds of the system's memory.
func reservedBytes() float64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.Sys - memory.HeapReleased)
}

// loadAverage returns the machine's load average over one minute, or -1 where the system doesn't tell.
func loadAverage() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return -1
	}
	first, _, _ := strings.Cut(string(content), " ")
	average, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return -1
	}
	return average
}
