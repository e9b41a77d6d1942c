package agents

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

func TestProbeIsRepeatedOnceWithTheEpochOfTheAgent(t *testing.T) {
	cases := []struct {
		name       string
		epoch      wire.AgentEpoch // of the agent
		token      wire.FencingToken
		wantProbes int
		wantStatus int
	}{
		{"known epoch", 1, testToken, 1, http.StatusOK},
		{"newer epoch", 3, testToken, 2, http.StatusOK},
		{"newer epoch and a higher token", 3, testToken + 1, 1, http.StatusConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.Begin(t.Context())
			probes := 0
			f.Client = newTestClient(func(r *http.Request) (*http.Response, error) {
				probes++
				raw, err := io.ReadAll(r.Body)
				var sent wire.Commands
				if err != nil || wire.Decode(raw, &sent) != nil || len(sent.Commands) != 0 {
					t.Errorf("decode request body %x as a probe: %v", raw, err)
				}
				status := http.StatusOK
				if sent.Epoch != tc.epoch {
					status = http.StatusConflict
				}
				return respondWith(status, wire.Encode(wire.Heartbeat{Machine: "n-1", Epoch: tc.epoch, Sequence: 11, Token: tc.token}))
			})
			f.Probe(f.machine)
			outcome, ok := (<-f.Events).(ProbeOutcome)
			if !ok || outcome.Err != nil || outcome.Status != tc.wantStatus || outcome.Heartbeat.Epoch != tc.epoch || outcome.Relayed {
				t.Fatalf("outcome: got %+v, want status %d and epoch %d by a direct probe", outcome, tc.wantStatus, tc.epoch)
			}
			if want := (wire.HeartbeatPosition{Epoch: 1, Sequence: 10, Token: testToken}); outcome.LastHeartbeatBefore != want || probes != tc.wantProbes {
				t.Errorf("got %d probes, last heartbeat before %+v, want %d, %+v", probes, outcome.LastHeartbeatBefore, tc.wantProbes, want)
			}
		})
	}
}

func TestProbeIsDirectIfNoPeerIsConnected(t *testing.T) {
	f := newFixture(t)
	f.Begin(t.Context())
	f.Client = newTestClient(agentResponse)
	f.Client.Mesh = peer.New("a", nil, func() peer.Status { return peer.Status{} }, cancels.New(nil, time.Minute),
		simulator.NewNetwork(0).Host("10.0.0.1"), f.Log)
	f.machine.UnansweredCommands = 1
	f.Probe(f.machine)
	outcome, ok := (<-f.Events).(ProbeOutcome)
	if !ok || outcome.Err != nil || outcome.Relayed {
		t.Errorf("outcome: got %+v, want the response to a direct probe", outcome)
	}
}

func TestTokenIsAnnouncedToMachinesThatLackIt(t *testing.T) {
	f := newFixture(t)
	f.Begin(t.Context())
	f.Client = newTestClient(agentResponse)
	go func() { // discards the outcomes, so that posting them does not block
		for {
			select {
			case <-f.Events:
			case <-f.Done:
				return
			}
		}
	}()
	for i := range MaxProbesPerTick + 5 {
		f.addMachine(wire.MachineID(fmt.Sprintf("old-%d", i))).Token = testToken - 1
	}
	ineligible := f.addMachine("booting")
	ineligible.Token, ineligible.Booting = testToken-1, true
	ineligible = f.addMachine("no-address")
	ineligible.Token, ineligible.Addr = testToken-1, ""
	ineligible = f.addMachine("unresponsive")
	ineligible.Token, ineligible.UnansweredCommands = testToken-1, 1

	probed := func() int {
		count := 0
		for _, machine := range f.State.Machines {
			if machine.CommandInFlight {
				count++
			}
		}
		return count
	}
	f.State.MachineListReceived = true
	for tick, want := range []int{MaxProbesPerTick, MaxProbesPerTick + 5, MaxProbesPerTick + 5} {
		if f.AnnounceToken(); probed() != want {
			t.Errorf("machines probed by tick %d: got %d, want %d", tick, probed(), want)
		}
	}
	if !f.TokenAnnounced {
		t.Error("token announced after all machines that can be probed were probed: got false, want true")
	}
}

func TestTokenAnnouncementIsNotCompleteBeforeTheFirstMachineList(t *testing.T) {
	f := newFixture(t)
	for _, listed := range []bool{false, true} {
		f.State.MachineListReceived = listed
		if f.AnnounceToken(); f.TokenAnnounced != listed {
			t.Errorf("machine list received %v: got token announced %v, want the same", listed, f.TokenAnnounced)
		}
	}
}

func TestAnnounceTokenProbesNothingUnlessDueAndLeading(t *testing.T) {
	for name, setup := range map[string]func(f *fixture){
		"already announced": func(f *fixture) { f.TokenAnnounced = true },
		"records not read":  func(f *fixture) { f.State.RecordsRead = false },
		"lease expired": func(f *fixture) {
			f.expireLease(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.machine.Token = testToken - 1
			setup(f)
			if f.AnnounceToken(); f.machine.CommandInFlight {
				t.Error("machine probed: got true, want false")
			}
		})
	}
}
