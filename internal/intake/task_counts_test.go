package intake

import (
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestTaskCountIsReadAgainAfterItsLifetime(t *testing.T) {
	counts := newTaskCounts(nil, 100, 3)
	if count, fresh := counts.get("req-1"); fresh || count != (taskCount{}) {
		t.Errorf("before any read: got %+v, fresh %t, want nothing", count, fresh)
	}
	justRead := taskCount{done: 1, running: 2, readAt: time.Now()}
	counts.put("req-1", justRead)
	if count, fresh := counts.get("req-1"); !fresh || count != justRead {
		t.Errorf("just read: got %+v, fresh %t, want %+v, fresh", count, fresh, justRead)
	}
	readEarlier := taskCount{done: 1, readAt: time.Now().Add(-taskCountLifetime)}
	counts.put("req-1", readEarlier)
	if count, fresh := counts.get("req-1"); fresh || count != readEarlier {
		t.Errorf("read long ago: got %+v, fresh %t, want %+v, not fresh", count, fresh, readEarlier)
	}
}

func TestTaskCountsAreBounded(t *testing.T) {
	counts := newTaskCounts(nil, 100, 3)
	for n := range 2*maxTaskCounts + 1 {
		counts.put(wire.JobID("req-"+strconv.Itoa(n)), taskCount{done: n})
		if len(counts.byJob) > maxTaskCounts {
			t.Fatalf("counts kept after %d: got %d, want at most %d", n+1, len(counts.byJob), maxTaskCounts)
		}
	}
}

func TestTaskCountReadsShareStoreRateLimit(t *testing.T) {
	for _, tt := range []struct {
		name     string
		storeRPS float64
		nodes    int
		want     float64
	}{
		{"one node has the whole share", 100, 1, 15},
		{"three nodes have a third each", 100, 3, 5},
		{"a low limit leaves the minimum", 1, 3, minTaskCountRPS},
		{"an unknown number of nodes counts as one", 100, 0, 15},
	} {
		t.Run(tt.name, func(t *testing.T) {
			counts := newTaskCounts(nil, tt.storeRPS, tt.nodes)
			if got := float64(counts.readLimiter.Limit()); got != tt.want {
				t.Errorf("newTaskCounts(%g, %d): got %g reads a second, want %g", tt.storeRPS, tt.nodes, got, tt.want)
			}
		})
	}
}
