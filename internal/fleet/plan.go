package fleet

import (
	"slices"

	"lilaclead/internal/wire"
)

// MakePlan packs the demands into the machines of the snapshot, and adds machines for the units
// that are left, from the offers that are cheapest per unit that would actually run there. Idle
// machines that no demand uses are returned to the cloud once they need not be kept any longer.
// Machines are cordoned only by a plan that adds none.
func MakePlan(s *Snapshot) Plan {
	p := newPacker(s)
	for i := range p.demands {
		d, kind := &p.demands[i], p.kinds[i]
		p.laterUnits[kind] -= d.Units
		if d.AllOrNothing {
			p.packAllOrNothing(d)
		} else {
			p.pack(d, kind)
		}
	}
	plan := Plan{ScaleOuts: p.scaleOuts(), ScaleIns: p.scaleIns(), Unmet: p.unmet}
	if len(plan.ScaleOuts) == 0 {
		plan.Cordons = planCordons(s, p.bins)
	}
	return plan
}

// scaleOuts returns one request for each offer of which machines are added.
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

// matches reports whether r requests machines of this offer.
func (o *Offer) matches(r ScaleOut) bool {
	return r.Type == o.Type && r.Zone == o.Zone && r.Spot == o.Spot
}

// scaleIns returns the machines that no demand of this plan uses and that may be returned.
func (p *packer) scaleIns() []wire.MachineID {
	var out []wire.MachineID
	for i := range p.snapshot.Machines {
		if m := &p.snapshot.Machines[i]; !p.bins[i].used && m.mayScaleIn() {
			out = append(out, m.ID)
		}
	}
	return out
}

// mayScaleIn reports whether the machine has been idle for long enough and its prepaid time is
// over.
func (m *Machine) mayScaleIn() bool {
	return m.Idle && m.IdleSeconds >= m.KeepIdleSeconds && m.PrepaidSeconds <= 0
}
