package fleet

import (
	"slices"

	"lilaclead/internal/wire"
)

// MakePlan returns a plan: demands are packed into the room there is, the rest into the
// offers that are cheapest per unit that they would really hold, and what stays idle
// after that is returned.
func MakePlan(s *Snapshot) Plan {
	p := newPacker(s)
	for i := range p.demands {
		d, kind := &p.demands[i], p.kinds[i]
		p.unitsToCome[kind] -= d.Units
		if d.AllOrNothing {
			p.packAllOrNothing(d)
		} else {
			p.pack(d, kind)
		}
	}
	plan := Plan{ScaleOuts: p.scaleOuts(), ScaleIns: p.scaleIns()}
	if len(plan.ScaleOuts) == 0 {
		plan.Cordons = cordon(s, p.bins)
	}
	return plan
}

// scaleOuts sums up the added machines by offer.
func (p *packer) scaleOuts() []ScaleOut {
	var out []ScaleOut
	for _, added := range p.added {
		offer := &p.offers[added.offer]
		i := slices.IndexFunc(out, offer.matches)
		if i < 0 {
			i = len(out)
			out = append(out, ScaleOut{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, ForJob: added.job})
		}
		out[i].Count++
	}
	return out
}

// matches reports whether the request is for machines of this offer.
func (o *Offer) matches(r ScaleOut) bool {
	return r.Type == o.Type && r.Zone == o.Zone && r.Spot == o.Spot
}

// scaleIns returns the machines that have no use in this plan and may be returned.
func (p *packer) scaleIns() []wire.MachineID {
	var out []wire.MachineID
	for i := range p.s.Machines {
		if m := &p.s.Machines[i]; !p.bins[i].used && m.mayScaleIn() {
			out = append(out, m.ID)
		}
	}
	return out
}

// mayScaleIn reports whether the machine has been idle for long enough and is paid for
// no longer.
func (m *Machine) mayScaleIn() bool {
	return m.Idle && m.IdleSeconds >= m.KeepIdleSeconds && m.PrepaidSeconds <= 0
}
