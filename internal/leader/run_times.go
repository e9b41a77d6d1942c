package leader

import "slices"

// runTimeStats keeps the last run times of a job's tasks.
type runTimeStats struct {
	samples       []float64
	medianSeconds float64
}

func (r *runTimeStats) add(v float64) {
	r.samples = append(r.samples, v)
	if len(r.samples) > 15 {
		r.samples = r.samples[1:]
	}
	c := slices.Clone(r.samples)
	slices.Sort(c)
	r.medianSeconds = c[len(c)/2]
}

func (r *runTimeStats) median() float64 { return r.medianSeconds }

// slowStats counts completions of a machine against its peers'.
type slowRunCounts struct{ slow, normal int }
