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
	// DrainFailed: it has failed by the cloud's list.
	DrainFailed         DrainReason = "failed"
	DrainUnresponsive   DrainReason = "silent"
	DrainNeverUp        DrainReason = "never came up"
	DrainInboundLost    DrainReason = "receives nothing"
	DrainOutboundLost   DrainReason = "its reports don't arrive"
	DrainLeaseExpiring  DrainReason = "its lease ends while its zone is partitioned"
	DrainAdoptedScaleIn DrainReason = "an earlier leader was returning it"
	DrainUncancellable  DrainReason = "a cancelled task could not be stopped"
)

// MachineStateCounts counts the machines in each state, for the metrics.
func (t *MachineTable) MachineStateCounts() map[string]int {
	counts := map[string]int{"up": 0, "booting": 0, "draining": 0, "releasing": 0}
	for _, m := range t.Machines {
		switch {
		case m.ScalingIn:
			counts["releasing"]++
		case m.DrainReason != "":
			counts["draining"]++
		case m.Booting:
			counts["booting"]++
		default:
			counts["up"]++
		}
	}
	return counts
}
