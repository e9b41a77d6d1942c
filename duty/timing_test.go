package duty_test

import (
	"strings"
	"testing"
	"time"

	"lilaclead/duty"
)

func TestValidTimingIsAccepted(t *testing.T) {
	if err := leaseTiming.Validate(); err != nil {
		t.Errorf("%+v: got %v, want nil", leaseTiming, err)
	}
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	timing := duty.Timing{TTL: time.Second, RenewEvery: 2 * time.Second, Drift: 1.5}
	err := timing.Validate()
	for _, field := range []string{"RenewTimeout", "Poll", "Drift", "TTL"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%+v: got %v, want an error that names %s", timing, err, field)
		}
	}
}

func TestSafeTTLSubtractsMarginAndDrift(t *testing.T) {
	timing := duty.Timing{TTL: 10 * time.Second, Margin: time.Second, Drift: 0.1}
	if got, want := timing.SafeTTL(), 8*time.Second; got != want {
		t.Errorf("%+v: got %v, want %v", timing, got, want)
	}
}
