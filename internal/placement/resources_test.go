package placement

import "testing"

func TestUnitsInIsLimitedByScarcestResource(t *testing.T) {
	for name, c := range map[string]struct {
		amount, free Resources
		want         int
	}{
		"CPUs are scarce":          {Resources{2, 0, 1}, Resources{5, 0, 16}, 2},
		"memory is scarce":         {Resources{1, 0, 8}, Resources{5, 0, 16}, 2},
		"GPUs are scarce":          {Resources{1, 1, 1}, Resources{5, 0, 16}, 0},
		"exactly one fits":         {Resources{0.30000000000000004, 0, 1}, Resources{0.3, 0, 1}, 1}, // sums of decimal fractions have rounding errors
		"more is used than exists": {Resources{1, 0, 1}, Resources{-1, 0, 16}, 0},
		"an amount of 0":           {Resources{}, Resources{1, 1, 1}, maxUnits},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.amount.UnitsIn(c.free); got != c.want {
				t.Errorf("%+v in %+v: %d units, want %d", c.amount, c.free, got, c.want)
			}
			if got, want := c.amount.FitsIn(c.free), c.want > 0; got != want {
				t.Errorf("%+v in %+v: fits %v, want %v", c.amount, c.free, got, want)
			}
		})
	}
}
