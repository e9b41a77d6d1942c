package election

import (
	"math"
	"testing"
	"time"

	"lilaclead/internal/peer"
)

// A leader that not all others acknowledge answers no longer than a node may be a
// delegate, whatever comes late from those it has lost; while all acknowledge, B
// after the end of its grant is the bound.
func TestAnswersWithoutState(t *testing.T) {
	now := time.Now()
	started := now.Add(-40 * time.Second)
	at := func(s float64) time.Time { return started.Add(time.Duration(s * float64(time.Second))) }
	// Its last good renewal was asked for 10 s into the term.
	l := NewLease(nil, Terms{TakenAt: started, HeldUntil: DecidesUntil(at(10))})
	for _, c := range []struct{ b, c, want float64 }{{39.5, 39.5, 44}, {39.5, 20, 32}, {39.5, 33, 37}, {0, 0, 32}} {
		oldest := at(min(c.b, c.c))
		if got := l.outageLimit(oldest, 22*time.Second).Round(time.Second).Seconds(); got != math.Round(c.want) && got != math.Round(c.want-0.5) {
			t.Errorf("acknowledged beats of %v and %v s: may answer until %v s, want %v", c.b, c.c, got, c.want)
		}
	}
	if got, most := l.outageLimit(now, 0), 10*time.Second+grantTTL+peer.OutageLimit; got > most || got < most-time.Second {
		t.Errorf("without delegates: may answer until %v, want just below %v", got, most)
	}
	// Neither bound lets it answer longer than the majority acknowledges.
	l.Acknowledged(now.Add(-time.Second), now, 0)
	if l.Answering() {
		t.Error("answers without a majority")
	}
	l.Acknowledged(now.Add(time.Second), now, 0)
	if !l.Answering() || l.Deciding() {
		t.Errorf("with a majority: answers %v, decides %v", l.Answering(), l.Deciding())
	}
}
