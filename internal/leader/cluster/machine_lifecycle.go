package cluster

// DrainState is whether a machine takes new tasks, and why not. A drained machine is
// scaled in once it is empty.
type DrainState struct {
	// DrainReason says why the machine takes nothing new; empty: it does. Reconciliation
	// and the autoscaler set it, for good: the first reason stands, unless an earlier
	// leader's scale-in is adopted.
	DrainReason DrainReason
	// ScalingIn: the machine is being returned to the cloud. The autoscaler sets it, for
	// good.
	ScalingIn bool
	// Cordoned: the capacity plan keeps the machine free, see fleet.Plan. The scheduler
	// sets it anew with every plan.
	Cordoned bool
}

// staying reports whether the machine is neither drained nor scaled in.
func (d *DrainState) staying() bool { return d.DrainReason == "" && !d.ScalingIn }

// DrainReason says why a machine takes nothing new, or is scaled in; empty: it takes tasks.
type DrainReason string

// The reasons to drain a machine or to scale it in.
const (
	// DrainFaulty: tasks fail on it.
	DrainFaulty     DrainReason = "faulty"
	DrainSlow       DrainReason = "slow"
	DrainSpotNotice DrainReason = "spot notice"
	DrainRestarted  DrainReason = "restarted"
	DrainIdle       DrainReason = "idle"
	// DrainFailedInCloud: it has failed by the cloud's list.
	DrainFailedInCloud            DrainReason = "failed"
	DrainUnresponsive             DrainReason = "silent"
	DrainBootTimeout              DrainReason = "never came up"
	DrainInboundConnectivityLost  DrainReason = "receives nothing"
	DrainOutboundConnectivityLost DrainReason = "its reports don't arrive"
	DrainLeaseExpiring            DrainReason = "its lease ends while its zone is partitioned"
	DrainAdoptedScaleIn           DrainReason = "an earlier leader was returning it"
	DrainCancelFailed             DrainReason = "a cancelled task could not be stopped"
)

// MachineLifecycle names where a machine is between scale-out and scale-in. It is a label
// of the metric that counts machines.
type MachineLifecycle string

// The lifecycle of a machine, from the last to the first: where several hold, the first
// one here counts.
const (
	// MachineReleasing: it is being scaled in.
	MachineReleasing MachineLifecycle = "releasing"
	// MachineDraining: it takes nothing new.
	MachineDraining MachineLifecycle = "draining"
	// MachineBooting: it has not sent a heartbeat yet.
	MachineBooting MachineLifecycle = "booting"
	// MachineUp: none of the others.
	MachineUp MachineLifecycle = "up"
)

// Lifecycle returns where the machine is between scale-out and scale-in.
func (m *Machine) Lifecycle() MachineLifecycle {
	switch {
	case m.ScalingIn:
		return MachineReleasing
	case m.DrainReason != "":
		return MachineDraining
	case m.Booting:
		return MachineBooting
	}
	return MachineUp
}

// LifecycleCounts counts the machines by lifecycle, for the metrics. None is missing.
func (t *MachineTable) LifecycleCounts() map[string]int {
	counts := map[string]int{}
	for _, lifecycle := range []MachineLifecycle{MachineUp, MachineBooting, MachineDraining, MachineReleasing} {
		counts[string(lifecycle)] = 0
	}
	for _, m := range t.Machines {
		counts[string(m.Lifecycle())]++
	}
	return counts
}
