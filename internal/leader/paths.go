package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// heartbeatsMissingFor is how long a machine has answered direct commands while no report
// of it came, neither here nor through another node, nor to a delegate.
func (s *State) heartbeatsMissingFor(m *machine, now time.Time) time.Duration {
	if m.heartbeatsMissingSince.IsZero() {
		return 0
	}
	return now.Sub(latest(m.heartbeatsMissingSince, latest(s.storeAvailableSince, s.delegatesRenewedUntil)))
}

// outboundLost tells whether a machine looks alive but can't reach any controller: its
// lease runs out again and again, with all that is started there. It takes
// nothing new, and its room is not counted on. (Tasks longer than a lease were
// once started on such machines for ever and never completed.)
func (s *State) outboundLost(m *machine, now time.Time) bool {
	return s.heartbeatsMissingFor(m, now) > max(s.settings.Workers.Lease.Duration()/2, 2*s.heartbeatInterval())
}

// missesLaunch tells whether an earlier answer carried a launch that the machine
// should know of by now.
func (m *machine) missesLaunch(rep *wire.Heartbeat) bool {
	for task, a := range m.tasks {
		if a.observed || a.replySequence == 0 || a.replyEpoch != rep.Epoch || rep.Sequence <= a.replySequence {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.number }) {
			return true
		}
	}
	return false
}
