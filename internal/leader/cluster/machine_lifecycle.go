package cluster

// DrainState is whether a machine takes new tasks, and if not, why. A drained machine is
// scaled in once it is empty.
type DrainState struct {
	// DrainReason says why the machine takes no new tasks; empty: it takes them.
	// Reconciliation and the autoscaler set it and never clear it. The first reason stands,
	// unless this leader adopts an earlier leader's scale-in.
	DrainReason DrainReason
	// ScalingIn: the machine is being returned to the cloud. The autoscaler sets it and
	// never clears it.
	ScalingIn bool
	// Cordoned: the capacity plan keeps the machine free, see fleet.Plan. The scheduler
	// sets or clears it with every plan.
	Cordoned bool
}

// staying reports whether the machine is neither drained nor scaled in.
func (d *DrainState) staying() bool { return d.DrainReason == "" && !d.ScalingIn }

// DrainReason says why a machine takes no new tasks, or is scaled in; empty: it takes them.
type DrainReason string

// The reasons to drain a machine or to scale it in.
const (
	// DrainFaulty: tasks fail on it.
	DrainFaulty     DrainReason = "faulty"
	DrainSlow       DrainReason = "slow"
	DrainSpotNotice DrainReason = "spot notice"
	DrainRestarted  DrainReason = "restarted"
	DrainIdle       DrainReason = "idle"
	// DrainFailedInCloud: the cloud's machine list shows it as failed.
	DrainFailedInCloud            DrainReason = "failed"
	DrainUnresponsive             DrainReason = "silent"
	DrainBootTimeout              DrainReason = "never came up"
	DrainInboundConnectivityLost  DrainReason = "receives nothing"
	DrainOutboundConnectivityLost DrainReason = "its reports don't arrive"
	DrainLeaseExpiring            DrainReason = "its lease ends while its zone is partitioned"
	DrainAdoptedScaleIn           DrainReason = "an earlier leader was returning it"
	DrainCancelFailed             DrainReason = "a cancelled task could not be stopped"
)

// MachineLifecycle is the phase of a machine between scale-out and scale-in. It is a label of
// the metric that counts machines.
type MachineLifecycle string

// The phases of a machine, from the last to the first. Where several apply, the one that is
// listed first here counts.
const (
	// MachineReleasing: it is being scaled in.
	MachineReleasing MachineLifecycle = "releasing"
	// MachineDraining: it takes no new tasks.
	MachineDraining MachineLifecycle = "draining"
	// MachineBooting: it has not sent a heartbeat yet.
	MachineBooting MachineLifecycle = "booting"
	// MachineUp: none of the others applies.
	MachineUp MachineLifecycle = "up"
)

// Lifecycle returns the phase of the machine.
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

// LifecycleCounts counts the machines by lifecycle, for the metrics. A phase that no machine
// is in has a count of 0.
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
