package cluster

// DrainReason says why a machine takes nothing new, or is returned; empty: it
// serves.
type DrainReason string

const (
	DrainFaulty         DrainReason = "faulty" // tasks fail on it
	DrainSlow           DrainReason = "slow"
	DrainSpotNotice     DrainReason = "spot notice"
	DrainRestarted      DrainReason = "restarted"
	DrainIdle           DrainReason = "idle"
	DrainFailed         DrainReason = "failed" // by the cloud's list
	DrainUnresponsive   DrainReason = "silent"
	DrainNeverUp        DrainReason = "never came up"
	DrainInboundLost    DrainReason = "receives nothing"
	DrainOutboundLost   DrainReason = "its reports don't arrive"
	DrainLeaseExpiring  DrainReason = "its lease ends while its zone is partitioned"
	DrainAdoptedScaleIn DrainReason = "an earlier leader was returning it"
	DrainUncancellable  DrainReason = "a cancelled task could not be stopped"
)
