package cluster

import (
	"testing"

	"lilaclead/internal/wire"
)

func TestDirectLaunchIsAcceptedUntilAHigherTokenOrEpoch(t *testing.T) {
	task, other := wire.TaskID{Job: "req-1"}, wire.TaskID{Job: "req-1", Index: 1}
	cases := []struct {
		name  string
		task  wire.TaskID
		token wire.FencingToken
		epoch wire.AgentEpoch
		want  bool
	}{
		{"same token and epoch", task, 50, 2, true},
		{"the agent has restarted", task, 0, 1, true},
		{"higher token", task, 51, 2, false},
		{"next epoch", task, 50, 3, false},
		{"another task", other, 50, 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := &Machine{}
			m.RecordDirectLaunch(task, DirectLaunch{Attempt: 3, Token: 50, Epoch: 2})
			if got := m.DirectLaunchAcceptedWith(tc.task, tc.token, tc.epoch); got != tc.want {
				t.Errorf("accepted: got %v, want %v", got, tc.want)
			}
			if got := m.OtherDirectLaunchAcceptedWith(tc.task, 4, tc.token, tc.epoch); got != tc.want {
				t.Errorf("accepted, of an earlier attempt: got %v, want %v", got, tc.want)
			}
			if m.OtherDirectLaunchAcceptedWith(tc.task, 3, tc.token, tc.epoch) {
				t.Error("accepted, of another attempt: got true for the same attempt, want false")
			}
			m.Token, m.Epoch = tc.token, tc.epoch
			m.DropRefusedLaunches()
			if kept := len(m.directLaunches) == 1; kept != (tc.want || tc.task == other) {
				t.Errorf("recorded after the agent showed token %d, epoch %d: got %v", tc.token, tc.epoch, kept)
			}
		})
	}
}
