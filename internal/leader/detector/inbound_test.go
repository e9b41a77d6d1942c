package detector

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// A path is lost when two answers in a row have no effect, or one has none and a direct
// command is not answered. Anything that arrives restores it.
func TestPathIsLostByIgnoredAnswers(t *testing.T) {
	const token = 50
	heartbeat := func(epoch wire.AgentEpoch, sequence wire.Sequence, token wire.FencingToken) *wire.Heartbeat {
		return &wire.Heartbeat{Epoch: epoch, Sequence: sequence, Token: token}
	}
	misses := func() bool { return true }
	complete := Evidence{token, true, func() bool { return false }}
	missesLaunch := Evidence{token, true, misses}
	noTokenBefore := Evidence{0, true, misses}
	notRenewed := Evidence{token, false, misses}
	type step struct {
		heartbeat         *wire.Heartbeat
		evidence          Evidence
		commandUnanswered bool // before the heartbeat
		want              Change
	}
	for name, steps := range map[string][]step{
		"shows what it was told": {
			{heartbeat(1, 11, token), complete, false, Unchanged},
			{heartbeat(1, 12, token), complete, false, Unchanged},
		},
		"one answer has no effect": {
			{heartbeat(1, 11, token), missesLaunch, false, Unchanged},
			{heartbeat(1, 12, token), complete, false, Unchanged},
		},
		"two have none": {
			{heartbeat(1, 11, token), missesLaunch, false, Unchanged},
			{heartbeat(1, 12, token), missesLaunch, false, Lost},
			{heartbeat(1, 13, token), missesLaunch, false, Unchanged},
		},
		"one, and a command": {
			{heartbeat(1, 11, token), missesLaunch, true, Lost},
		},
		"an older token": {
			{heartbeat(1, 11, token-1), complete, false, Unchanged},
			{heartbeat(1, 12, token-1), complete, false, Lost},
		},
		"its lease expired": {
			{heartbeat(2, 1, token), complete, false, Lost},
		},
		"its lease expired, but no answer was due": {
			{heartbeat(2, 1, token), notRenewed, false, Unchanged},
		},
		"made before the answer": {
			{heartbeat(1, 10, token), missesLaunch, false, Unchanged},
			{heartbeat(1, 9, token), missesLaunch, true, Unchanged},
		},
		"a higher token comes back": {
			{heartbeat(1, 11, token), missesLaunch, true, Lost},
			{heartbeat(1, 12, token+1), missesLaunch, false, Restored},
			{heartbeat(1, 13, token), missesLaunch, false, Unchanged},
		},
		"the first token it is shown": {
			{heartbeat(1, 11, token), noTokenBefore, true, Lost},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var path Inbound
			if got := path.ObserveHeartbeat(heartbeat(1, 9, 0), missesLaunch, start); got != Unchanged {
				t.Errorf("before any answer: change %d, want %d", got, Unchanged)
			}
			path.RecordAnswer(token, 1, 10)
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

func TestReceivedMessageRestoresPathOnce(t *testing.T) {
	const token = 50
	type verdict struct {
		works, commandsFail bool
		lostFor             time.Duration
	}
	verdictOn := func(path *Inbound) verdict {
		return verdict{path.Works(), path.CommandsFail(), path.LostFor(start.Add(time.Second))}
	}
	missesLaunch := Evidence{token, true, func() bool { return true }}
	var path Inbound
	path.RecordAnswer(token, 1, 10)
	path.RecordUnansweredCommand()
	path.ObserveHeartbeat(&wire.Heartbeat{Epoch: 1, Sequence: 11, Token: token}, missesLaunch, start)
	if got, want := verdictOn(&path), (verdict{false, true, time.Second}); got != want {
		t.Errorf("lost: %+v, want %+v", got, want)
	}
	if first, second := path.RecordDelivery(), path.RecordDelivery(); first != Restored || second != Unchanged {
		t.Errorf("received twice: changes %d, %d, want %d, %d", first, second, Restored, Unchanged)
	}
	if got, want := verdictOn(&path), (verdict{true, false, 0}); got != want {
		t.Errorf("restored: %+v, want %+v", got, want)
	}
}
