package scaling

import "lilaclead/internal/wire"

// scaleInQueue holds the machines that wait to be scaled in. Only one scale-in request is in
// flight at a time.
type scaleInQueue struct {
	waiting  []wire.MachineID
	inFlight bool
}

// QueueScaleIn adds a machine to those that wait to be scaled in.
func (t *Tracker) QueueScaleIn(machine wire.MachineID) {
	t.scaleIns.waiting = append(t.scaleIns.waiting, machine)
}

// NextScaleIn takes the machines of the next request from the queue, at most limit and at most
// MaxScaleIn, and marks the request as in flight. It returns nil if no machine is queued or a
// request is in flight already. Machines that are queued meanwhile share the next request.
func (t *Tracker) NextScaleIn(limit int) []wire.MachineID {
	queue := &t.scaleIns
	if len(queue.waiting) == 0 || !t.BeginScaleIn() {
		return nil
	}
	size := min(len(queue.waiting), MaxScaleIn, limit)
	machines := queue.waiting[:size:size]
	queue.waiting = queue.waiting[size:]
	return machines
}

// BeginScaleIn marks a request as in flight. It returns false if one is in flight already. The
// caller also uses it to hold back scale-in requests while it clears the record of them.
func (t *Tracker) BeginScaleIn() bool {
	if t.scaleIns.inFlight {
		return false
	}
	t.scaleIns.inFlight = true
	return true
}

// EndScaleIn marks the request in flight as answered.
func (t *Tracker) EndScaleIn() { t.scaleIns.inFlight = false }
