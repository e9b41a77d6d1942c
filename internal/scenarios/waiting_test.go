package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// The cloud has no more machines, and what is free is kept for the next replicas
// of a service: an array that fits there must not wait for ever.
func TestSpareRoomIsNotKeptForEver(t *testing.T) {
	play(t, 60, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 2, 10)
		at(2 * time.Second)
		w.Submit(s, 0)
		at(60 * time.Second)
		w.NoMore()
		w.Submit(a, 0)
		at(220 * time.Second)
		mustRun(t, w, s, "beside an array")
		mustFinish(t, w, a)
	})
}
