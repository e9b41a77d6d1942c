package lilaclead

import (
	"testing"

	"lilaclead/internal/config"
)

// The split of the sockets follows from the limit and serves the machines that a
// deployment of that limit may have; a limit that is too small is reported with the
// figure that is needed.
func TestSocketLimitIsSplit(t *testing.T) {
	for _, c := range []struct {
		name       string
		fdLimit    int
		memoryMB   float64
		nodes      int
		minWorkers int // that one node must be able to hold
		tight      bool
	}{
		{"large, five nodes", 4296, 322, 5, 2870, false},
		{"large, seven nodes", 2900, 322, 7, 1170, false},
		{"largest", 5000, 342, 5, 3300, false},
		{"small, seven nodes", 900, 98, 7, 370, false},
		{"small, three nodes", 900, 98, 3, 48, false},
		{"least sockets", 64, 98, 3, 10, false},
		{"memory too small", 4296, 60, 5, 500, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := config.ProcessLimits{FDLimit: c.fdLimit, MemoryMB: c.memoryMB}
			split := splitSockets(limits, c.nodes)
			if got := split.workers(); got < c.minWorkers {
				t.Errorf("splitSockets(%+v, %d) = %+v holds %d workers, want %d or more", limits, c.nodes, split, got, c.minWorkers)
			}
			if got, most := split.accepted+split.direct+split.internal, max(c.fdLimit, 70); got > most {
				t.Errorf("splitSockets(%+v, %d) = %+v is %d sockets, want at most %d", limits, c.nodes, split, got, most)
			}
			if needed := socketsNeeded(3*split.workers(), limits, c.nodes); needed <= c.fdLimit && !c.tight {
				t.Errorf("socketsNeeded(%d, %+v, %d) = %d, want more than the limit", 3*split.workers(), limits, c.nodes, needed)
			}
			if got := split.memoryNeeded > c.memoryMB; got != c.tight {
				t.Errorf("splitSockets(%+v, %d) needs %.0f MB, want too much: %v", limits, c.nodes, split.memoryNeeded, c.tight)
			}
		})
	}
}
