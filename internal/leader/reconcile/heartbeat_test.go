package reconcile

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestHeartbeatUpdatesMachine(t *testing.T) {
	f := newFixture(t)
	f.machine.Token, f.machine.Booting, f.machine.UnansweredCommands = testToken-1, true, 2
	f.machine.FirstHeartbeatAt, f.machine.LastMessageAt = time.Time{}, time.Time{}
	now := time.Now()
	sent := heartbeat(2, 1, testToken, attemptStatus(wire.PhaseRunning, ""))
	sent.Addr, sent.Type, sent.Zone, sent.Spot = "10.0.0.9:9000", "c4", "a", true
	f.Reconcile(f.machine, sent, true, now)

	m := f.machine
	if m.Addr != sent.Addr || m.MachineType != sent.Type || m.Zone != sent.Zone || !m.Spot {
		t.Errorf("machine at %q of type %q in zone %q, spot %v; want those of heartbeat %+v", m.Addr, m.MachineType, m.Zone, m.Spot, sent)
	}
	if m.Epoch != 2 || m.Sequence != 1 || m.Token != testToken {
		t.Errorf("epoch %d, sequence %d, token %d; want 2, 1, %d", m.Epoch, m.Sequence, m.Token, testToken)
	}
	if m.Booting || m.UnansweredCommands != 0 {
		t.Errorf("booting %v with %d unanswered commands, want neither", m.Booting, m.UnansweredCommands)
	}
	for name, got := range map[string]time.Time{
		"last message": m.LastMessageAt, "first heartbeat": m.FirstHeartbeatAt, "start of the epoch": m.EpochSince,
		"token of this term": m.TokenSeenAt, "last use": m.LastUsedAt,
	} {
		if !got.Equal(now) {
			t.Errorf("%s at %v, want %v", name, got, now)
		}
	}
}

func TestHeartbeatsCountAsMissingWhileMachineOnlyAnswersCommands(t *testing.T) {
	f := newFixture(t)
	start := time.Now()
	for i, step := range []struct {
		sentByAgent bool
		want        time.Time
	}{
		{true, time.Time{}},
		{false, start.Add(time.Second)},
		{false, start.Add(time.Second)},
		{true, time.Time{}},
	} {
		f.Reconcile(f.machine, heartbeat(1, wire.Sequence(11+i), testToken), step.sentByAgent, start.Add(time.Duration(i)*time.Second))
		if got := f.machine.HeartbeatsMissingSince; !got.Equal(step.want) {
			t.Errorf("step %d, sent by the agent %v: missing since %v, want %v", i, step.sentByAgent, got, step.want)
		}
	}
}

func TestNewEpochSoonAfterRenewalMeansInboundPathIsLost(t *testing.T) {
	for name, tc := range map[string]struct {
		sinceResponse time.Duration // the lease lasts 16 s
		wantWorks     bool
	}{
		"within half a lease":  {7900 * time.Millisecond, false},
		"after half the lease": {8 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			f.machine.LastResponseAt = now.Add(-tc.sinceResponse)
			f.machine.Inbound.RecordResponse(testToken, 1, 10)
			f.checkInboundPath(f.machine, heartbeat(2, 1, testToken), now)
			if got := f.machine.Inbound.Works(); got != tc.wantWorks {
				t.Errorf("new epoch %v after a renewal: inbound path works %v, want %v", tc.sinceResponse, got, tc.wantWorks)
			}
			f.onDelivery(f.machine)
			if !f.machine.Inbound.Works() {
				t.Error("the inbound path does not work although a message was received")
			}
		})
	}
}
