package lilaclead

import (
	"runtime"
	"runtime/debug"
)

const (
	// processorThreads is 1, since a controller is given one core or less.
	processorThreads = 1
	// heapShare is the part of memory_mb for the heap; stacks and the runtime take
	// the rest.
	heapShare = 0.7
	// collectorPercent lets the heap triple between collections below its limit.
	collectorPercent = 200
	// bytesPerMegabyte converts the settings' sizes.
	bytesPerMegabyte = 1 << 20
)

// LimitProcess fits the Go runtime into the limits of the settings file. It is for a
// process that is a node and nothing else.
func LimitProcess(cfg *Config) {
	runtime.GOMAXPROCS(processorThreads)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemoryMB * heapShare * bytesPerMegabyte))
	debug.SetGCPercent(collectorPercent)
}
