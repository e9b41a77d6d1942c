package scaling

import "lilaclead/internal/wire"

// scaleInQueue are the machines that wait to be scaled in, by one request at a time.
type scaleInQueue struct {
	waiting  []wire.MachineID
	inFlight bool
}

// QueueScaleIn adds a machine that is to be scaled in.
func (t *Tracker) QueueScaleIn(machine wire.MachineID) {
	t.scaleIns.waiting = append(t.scaleIns.waiting, machine)
}

// NextScaleIn returns the machines of the request that is to be sent now, at most limit and
// at most MaxScaleIn; none if a request is in flight: what is queued meanwhile shares the
// next one.
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

// BeginScaleIn marks a request as in flight. It returns false if one is already.
func (t *Tracker) BeginScaleIn() bool {
	if t.scaleIns.inFlight {
		return false
	}
	t.scaleIns.inFlight = true
	return true
}

// EndScaleIn marks the request in flight as answered.
func (t *Tracker) EndScaleIn() { t.scaleIns.inFlight = false }
