package lilaclead

import (
	"runtime"
	"runtime/debug"
)

const (
	// maxProcs is the process's GOMAXPROCS: a controller is given one core or less.
	maxProcs = 1
	// heapShare is the fraction of memory_mb for the heap. Stacks and the runtime take
	// the rest.
	heapShare = 0.7
	// gcPercent is the process's GOGC: the heap may triple between two collections while
	// it is below its limit.
	gcPercent = 200
	// bytesPerMegabyte converts the settings' sizes.
	bytesPerMegabyte = 1 << 20
)

// LimitProcess sets the Go runtime's number of threads, memory limit and GC percentage so that
// the process stays within the limits of the settings file. All three hold for the whole
// process, so call LimitProcess only in a process that runs a Node and nothing else.
func LimitProcess(cfg *Config) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemoryMB * heapShare * bytesPerMegabyte))
	debug.SetGCPercent(gcPercent)
}
