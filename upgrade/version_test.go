package upgrade_test

import (
	"testing"

	"lilaclead/upgrade"
)

func TestInvalidRangeIsRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		supports upgrade.Range
	}{
		{"empty", upgrade.Range{}},
		{"maximum below minimum", upgrade.Range{Min: 2, Max: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := upgrade.NewMember(upgrade.Options{SupportedRange: c.supports}); err == nil {
				t.Errorf("%v: got nil, want an error", c.supports)
			}
		})
	}
}

func TestRangeContainsBothEnds(t *testing.T) {
	supports := upgrade.Range{Min: 2, Max: 3}
	for version, want := range map[upgrade.Version]bool{1: false, 2: true, 3: true, 4: false} {
		if got := supports.Contains(version); got != want {
			t.Errorf("%v contains %d: got %v, want %v", supports, version, got, want)
		}
	}
}
