package lilaclead

import (
	"testing"

	"lilaclead/internal/config"
)

// The split stays within the limit and leaves sockets for the agents that a deployment with
// that limit may have. For more agents than that, socketsNeeded returns a higher limit. A memory
// limit that is too small for the limit on sockets shows in memoryNeededMB.
func TestSocketLimitIsSplit(t *testing.T) {
	for _, c := range []struct {
		name           string
		fdLimit        int
		memoryMB       float64
		nodes          int
		minAgents      int // that a single node must be able to serve
		memoryTooSmall bool
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
			if got := split.maxAgents(); got < c.minAgents {
				t.Errorf("splitSockets(%+v, %d) = %+v serves %d agents, want %d or more", limits, c.nodes, split, got, c.minAgents)
			}
			if got, limit := split.accepted+split.direct+split.internal, max(c.fdLimit, 70); got > limit {
				t.Errorf("splitSockets(%+v, %d) = %+v is %d sockets, want at most %d", limits, c.nodes, split, got, limit)
			}
			if needed := socketsNeeded(3*split.maxAgents(), limits, c.nodes); needed <= c.fdLimit && !c.memoryTooSmall {
				t.Errorf("socketsNeeded(%d, %+v, %d) = %d, want more than the limit", 3*split.maxAgents(), limits, c.nodes, needed)
			}
			if got := split.memoryNeededMB > c.memoryMB; got != c.memoryTooSmall {
				t.Errorf("splitSockets(%+v, %d) needs %.0f MB, want more than the limit: %v", limits, c.nodes, split.memoryNeededMB, c.memoryTooSmall)
			}
		})
	}
}
