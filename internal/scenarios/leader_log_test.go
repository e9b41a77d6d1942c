package scenarios_test

import (
	"context"
	"testing"
	"time"

	"lilaclead"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
)

// The default log level must tell afterwards what became of an attempt: under which token and epoch
// it was launched, when its outcome was stored, and on which ground it was to be forgotten.
func TestLogTellsLaunchOutcomeAndForgettingOfAnAttempt(t *testing.T) {
	t.Parallel()
	var log processLog
	start := func(cfg *config.Config, network netio.Network) (func(context.Context) error, error) {
		node, err := lilaclead.New(cfg, lilaclead.Options{Net: network, Log: &log})
		if err != nil {
			return nil, err
		}
		return node.Run, nil
	}
	settings := simulator.DefaultSettings()
	runDeployment(t, settings, settings.Zones, 1, start, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		job := array(1, 4, 5)
		sleepUntil(2 * time.Second)
		sim.Submit(job, 0)
		sleepUntil(30 * time.Second)
		sim.SetCloudOutage(true) // so that no machine is returned
		sleepUntil(150 * time.Second)
		mustFinish(t, sim, job)
		previous := -1
		for _, step := range [][]string{
			{`msg="records read"`, "token=", "revision="},
			{`msg="attempts launched"`, "token=", "req-000001/0@1 to n-", " epoch 1 by direct"},
			{`msg="outcomes stored"`, "token=", "req-000001/0@1 on n-", ": done"},
			{`msg="attempts to be forgotten"`, "token=", "req-000001/0@1 on n-"},
		} {
			number, line, found := log.firstLineWith(step...)
			if !found || number <= previous {
				t.Errorf("log line with %q: found %v, line %d %q, want one after line %d", step, found, number, line, previous)
			}
			previous = number
		}
	})
}
