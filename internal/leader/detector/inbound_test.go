package detector

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// A path is lost when two responses have no effect, with no delivery known in between, or one
// has none and a direct command is not answered. Any message that arrives restores the path.
func TestPathIsLostByIgnoredResponses(t *testing.T) {
	const token = 50
	heartbeat := func(epoch wire.AgentEpoch, sequence wire.Sequence, token wire.FencingToken) *wire.Heartbeat {
		return &wire.Heartbeat{Epoch: epoch, Sequence: sequence, Token: token}
	}
	lacksLaunch := func() bool { return true }
	complete := HeartbeatEvidence{token, true, func() bool { return false }}
	withoutLaunch := HeartbeatEvidence{token, true, lacksLaunch}
	noTokenBefore := HeartbeatEvidence{0, true, lacksLaunch}
	notRenewed := HeartbeatEvidence{token, false, lacksLaunch}
	type step struct {
		heartbeat         *wire.Heartbeat
		evidence          HeartbeatEvidence
		commandUnanswered bool // before the heartbeat
		want              PathChange
	}
	for name, steps := range map[string][]step{
		"the heartbeats show every launch": {
			{heartbeat(1, 11, token), complete, false, PathUnchanged},
			{heartbeat(1, 12, token), complete, false, PathUnchanged},
		},
		"one response has no effect": {
			{heartbeat(1, 11, token), withoutLaunch, false, PathUnchanged},
			{heartbeat(1, 12, token), complete, false, PathUnchanged},
		},
		"two responses have no effect": {
			{heartbeat(1, 11, token), withoutLaunch, false, PathUnchanged},
			{heartbeat(1, 12, token), withoutLaunch, false, PathLost},
			{heartbeat(1, 13, token), withoutLaunch, false, PathUnchanged},
		},
		"one response has no effect, and a command is not answered": {
			{heartbeat(1, 11, token), withoutLaunch, true, PathLost},
		},
		"the heartbeats show an older token": {
			{heartbeat(1, 11, token-1), complete, false, PathUnchanged},
			{heartbeat(1, 12, token-1), complete, false, PathLost},
		},
		"the lease expired": {
			{heartbeat(2, 1, token), complete, false, PathLost},
		},
		"the lease expired, but was not renewed recently": {
			{heartbeat(2, 1, token), notRenewed, false, PathUnchanged},
		},
		"the heartbeats were made before the response": {
			{heartbeat(1, 10, token), withoutLaunch, false, PathUnchanged},
			{heartbeat(1, 9, token), withoutLaunch, true, PathUnchanged},
		},
		"a heartbeat shows a higher token": {
			{heartbeat(1, 11, token), withoutLaunch, true, PathLost},
			{heartbeat(1, 12, token+1), withoutLaunch, false, PathRestored},
			{heartbeat(1, 13, token), withoutLaunch, false, PathUnchanged},
		},
		"the machine has shown no token before": {
			{heartbeat(1, 11, token), noTokenBefore, true, PathLost},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var path InboundPath
			if got := path.ObserveHeartbeat(heartbeat(1, 9, 0), withoutLaunch, start); got != PathUnchanged {
				t.Errorf("before any response: change %d, want %d", got, PathUnchanged)
			}
			path.RecordResponse(token, 1, 10)
			for i, s := range steps {
				if s.commandUnanswered {
					path.RecordUnansweredCommand()
				}
				if got := path.ObserveHeartbeat(s.heartbeat, s.evidence, start.Add(time.Duration(i)*time.Second)); got != s.want {
					t.Errorf("heartbeat %d, %+v: change %d, want %d", i, s.heartbeat, got, s.want)
				}
			}
		})
	}
}

func TestDeliveryRestoresPathOnce(t *testing.T) {
	const token = 50
	type pathState struct {
		works, commandUnanswered bool
		lostFor                  time.Duration
	}
	stateOf := func(path *InboundPath) pathState {
		return pathState{path.Works(), path.CommandUnanswered(), path.LostFor(start.Add(time.Second))}
	}
	withoutLaunch := HeartbeatEvidence{token, true, func() bool { return true }}
	var path InboundPath
	path.RecordResponse(token, 1, 10)
	path.RecordUnansweredCommand()
	path.ObserveHeartbeat(&wire.Heartbeat{Epoch: 1, Sequence: 11, Token: token}, withoutLaunch, start)
	if got, want := stateOf(&path), (pathState{false, true, time.Second}); got != want {
		t.Errorf("lost: %+v, want %+v", got, want)
	}
	if first, second := path.RecordDelivery(), path.RecordDelivery(); first != PathRestored || second != PathUnchanged {
		t.Errorf("two deliveries: changes %d, %d, want %d, %d", first, second, PathRestored, PathUnchanged)
	}
	if got, want := stateOf(&path), (pathState{true, false, 0}); got != want {
		t.Errorf("restored: %+v, want %+v", got, want)
	}
}
