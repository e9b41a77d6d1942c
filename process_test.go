package lilaclead

import (
	"runtime"
	"runtime/debug"
	"testing"

	"lilaclead/internal/simulator"
)

func TestLimitProcessFitsRuntimeIntoSettings(t *testing.T) {
	threads, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	percent := debug.SetGCPercent(100)
	defer func() {
		runtime.GOMAXPROCS(threads)
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(percent)
	}()
	cfg := &Config{Settings: simulator.DefaultSettings()}
	cfg.Settings.Limits.MemoryMB = 100
	LimitProcess(cfg)
	if got := runtime.GOMAXPROCS(0); got != 1 {
		t.Errorf("GOMAXPROCS = %d, want 1", got)
	}
	if got, want := debug.SetMemoryLimit(-1), int64(70<<20); got != want {
		t.Errorf("memory limit = %d bytes, want %d for memory_mb = 100", got, want)
	}
	if got := debug.SetGCPercent(100); got != gcPercent {
		t.Errorf("GC percent = %d, want %d", got, gcPercent)
	}
}
