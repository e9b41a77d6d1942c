package cluster

import "slices"

// runTimeStats keeps the last run times of a job's tasks.
type runTimeStats struct {
	Samples       []float64
	medianSeconds float64
}

func (r *runTimeStats) Add(v float64) {
	r.Samples = append(r.Samples, v)
	if len(r.Samples) > 15 {
		r.Samples = r.Samples[1:]
	}
	c := slices.Clone(r.Samples)
	slices.Sort(c)
	r.medianSeconds = c[len(c)/2]
}

func (r *runTimeStats) Median() float64 { return r.medianSeconds }

// slowStats counts completions of a machine against its peers'.
type slowRunCounts struct{ Slow, Normal int }
