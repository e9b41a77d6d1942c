package cluster

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// HeartbeatsMissingFor is how long a machine has answered direct commands while no report
// of it came, neither here nor through another node, nor to a delegate.
func (s *State) HeartbeatsMissingFor(m *Machine, now time.Time) time.Duration {
	if m.HeartbeatsMissingSince.IsZero() {
		return 0
	}
	return now.Sub(Latest(m.HeartbeatsMissingSince, Latest(s.StoreAvailableSince, s.DelegatesRenewedUntil)))
}

// OutboundLost tells whether a machine looks alive but can't reach any controller: its
// lease runs out again and again, with all that is started there. It takes
// nothing new, and its room is not counted on. (Tasks longer than a lease were
// once started on such machines for ever and never completed.)
func (s *State) OutboundLost(m *Machine, now time.Time) bool {
	return s.HeartbeatsMissingFor(m, now) > max(s.Settings.Workers.Lease.Duration()/2, 2*s.HeartbeatInterval())
}

// MissesLaunch tells whether an earlier answer carried a launch that the machine
// should know of by now.
func (m *Machine) MissesLaunch(rep *wire.Heartbeat) bool {
	for task, a := range m.Tasks {
		if a.Observed || a.ReplySequence == 0 || a.ReplyEpoch != rep.Epoch || rep.Sequence <= a.ReplySequence {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.Number }) {
			return true
		}
	}
	return false
}
