package capacity

import (
	"testing"

	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/leader/scheduling/valuation"
)

// testPlanner plans the capacity of a small cluster.
type testPlanner struct {
	*schedulingtest.Cluster
	*Estimator
	*Planner
}

func newTestPlanner(t *testing.T) *testPlanner {
	c := schedulingtest.New(t)
	estimator := NewEstimator(c.State, c.Tuning, c.Tracker, valuation.NewValuer(c.State))
	return &testPlanner{Cluster: c, Estimator: estimator, Planner: NewPlanner(c.State, c.Tracker, estimator)}
}

// plan returns a plan for the machine types of the cluster, without expected gangs.
func (s *testPlanner) plan(mayScaleOut bool) Plan {
	return s.Plan(Input{
		Specs:       s.State.Catalog.Get(),
		MayScaleOut: mayScaleOut,
		Values:      s.Tuning.Get(),
		Now:         schedulingtest.Now,
	})
}
