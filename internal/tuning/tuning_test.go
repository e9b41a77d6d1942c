package tuning

import (
	"strings"
	"testing"
)

// Stored settings of which one is out of range, or of a newer node: the others are
// applied. A change that operators make is applied whole or not at all, and every wrong
// field is named.
func TestApply(t *testing.T) {
	set := map[string]any{"fleet.keep_boots": 2.0, "fleet.dear_limit": -1.0, "gangs.of_tomorrow": "yes", "log.level": "loud", "round.period_s": 2.0}
	v, err := Apply(Default(), set, false)
	if v.IdleBoots != 2 || v.RoundS != 2 || v.PriceLimit != Default().PriceLimit || v.LogLevel != "" {
		t.Errorf("applied as %+v", v)
	}
	for _, field := range []string{"fleet.dear_limit", "log.level"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v does not name %s", err, field)
		}
	}
	v, err = Apply(Default(), set, true)
	if v != Default() || err == nil || !strings.Contains(err.Error(), "gangs.of_tomorrow") {
		t.Errorf("strict: %+v, %v", v, err)
	}
}
