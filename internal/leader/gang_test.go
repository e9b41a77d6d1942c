package leader

import (
	"testing"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func gangJob(tm *term, id wire.JobID, parts int) *job {
	j := newJob(store.JobRecord{Spec: wire.Spec{ID: id, Lane: "sweep", Owner: "red", Shape: wire.Ensemble, Urgency: wire.Standard, Parts: parts, CPUs: 2, RAM: 4, SamePlace: true}, At: wire.StampOf(time.Now())}, 2)
	tm.jobs[id] = j
	return j
}

// A gang whose claims lapse in part, with a machine, keeps none of them: with the
// rest no room was made for it until they had lapsed too.
func TestClaimsOfAGangLapseTogether(t *testing.T) {
	tm, m, _ := rig(t)
	gangJob(tm, "req-2", 2)
	other := tm.machine("n-2")
	now := time.Now()
	for _, x := range []*machine{m, other} {
		x.claims = []claim{{placement.Claim{Job: "req-2", Rank: 1}, nil, now.Add(time.Minute)}}
		tm.claimed[x] = struct{}{}
	}
	if n := tm.claims(now); n["req-2"] != 2 {
		t.Fatalf("claims %v", n)
	}
	delete(tm.machines, other.id)
	if n := tm.claims(now); n["req-2"] != 0 || len(m.claims) != 0 || len(tm.claimed) != 0 {
		t.Errorf("claims %v, on the machine that is left %v", n, m.claims)
	}
}
