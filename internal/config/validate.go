package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"lilaclead/internal/wire"
)

// Lower bounds of limits, each with the reason that is reported for a lower limit.
const (
	// minValueKB is large enough for the record of one job.
	minValueKB    = 0.5
	valueTooSmall = "must be 0.5 or more, to hold one job"

	// minTxnWrites is 2 since a job's live record is replaced by its final one in one
	// transaction.
	minTxnWrites    = 2
	tooFewTxnWrites = "must be 2 or more: a job's record is replaced by its final one"

	// minFDLimit is enough for a deployment of a few machines.
	minFDLimit        = 64
	tooFewDescriptors = "must be 64 or more"
)

// Further reasons for which a field is wrong.
const (
	missing        = "missing"
	namedTwice     = "named twice"
	notHostPort    = "must be host:port"
	notPositive    = "must be above 0"
	negative       = "must be 0 or more"
	leaseTooShort  = "must be longer than report_s: leases would end between two reports"
	tooFewNodes    = "must be 1 or more"
	wrongNodeCount = "is %d, but others and this node make %d"
)

// Validate returns an error that joins one wire.FieldError for each field that is
// wrong, or nil.
func (c *Config) Validate() error {
	var v validator
	v.checkNode(c)
	v.checkDeployment(&c.Settings, len(c.Peers)+1)
	v.checkTeams(c.Settings.Teams)
	v.checkWorkers(&c.Settings.Workers)
	v.checkNextStoreLimits(c.Settings.State.Next)
	v.checkStoreLimits(&c.Settings.State)
	v.checkCloud(&c.Settings.Cloud)
	v.checkProcessLimits(&c.Settings.Limits)
	return errors.Join(v.errs...)
}

// validator collects the errors of a Config. Its conditions on numbers are written so that
// they are false for NaN.
type validator struct{ errs []error }

// require reports the field as wrong unless the condition holds.
func (v *validator) require(holds bool, field, reason string) {
	if !holds {
		v.errs = append(v.errs, wire.FieldError{Field: field, Reason: reason})
	}
}

// requireText requires a string that is not empty.
func (v *validator) requireText(field, value string) {
	v.require(value != "", field, missing)
}

// requireAddress requires an address with a port.
func (v *validator) requireAddress(field, value string) {
	_, port, err := net.SplitHostPort(value)
	v.require(err == nil && port != "", field, notHostPort)
}

// requirePositive requires a finite number above 0.
func (v *validator) requirePositive(field string, value float64) {
	v.require(value > 0 && !math.IsInf(value, 1), field, notPositive)
}

// requireNotNegative requires a number of 0 or more; it may be infinite.
func (v *validator) requireNotNegative(field string, value float64) {
	v.require(value >= 0, field, negative)
}

// requireFiniteNotNegative requires a finite number of 0 or more.
func (v *validator) requireFiniteNotNegative(field string, value float64) {
	v.require(value >= 0 && !math.IsInf(value, 1), field, negative)
}

// checkNode checks the names and addresses of the node and its peers, and the addresses of
// the external services.
func (v *validator) checkNode(c *Config) {
	v.requireText("host_name", string(c.HostName))
	v.requireText("zone", string(c.Zone))
	v.requireAddress("front", c.UserAddr)
	v.requireAddress("peer_bind", c.PeerAddr)
	seen := map[wire.NodeID]bool{c.HostName: true}
	for i, peer := range c.Peers {
		prefix := fmt.Sprintf("others[%d].", i)
		v.requireText(prefix+"host_name", string(peer.HostName))
		v.requireAddress(prefix+"addr", peer.Addr)
		v.require(!seen[peer.HostName], prefix+"host_name", namedTwice)
		seen[peer.HostName] = true
	}
	v.requireAddress("endpoints.cloud", c.Endpoints.Cloud)
	v.requireAddress("endpoints.state", c.Endpoints.State)
}

// checkDeployment checks that the size of the deployment is the number of nodes that the file
// names, and that there are zones and teams. The node's own zone need not be among the zones,
// and a zone need not have a node.
func (v *validator) checkDeployment(s *Settings, namedNodes int) {
	if s.Size < 1 {
		v.require(false, "settings.size", tooFewNodes)
	} else {
		v.require(s.Size == namedNodes, "settings.size", fmt.Sprintf(wrongNodeCount, s.Size, namedNodes))
	}
	v.require(len(s.Zones) > 0, "settings.zones", missing)
	v.require(len(s.Teams) > 0, "settings.teams", missing)
	for i, zone := range s.Zones {
		v.requireText(fmt.Sprintf("settings.zones[%d]", i), string(zone))
	}
}

// checkTeams checks the names, quotas and limits of teams.
func (v *validator) checkTeams(teams []Team) {
	seen := map[wire.TeamID]bool{}
	for i, team := range teams {
		prefix := fmt.Sprintf("settings.teams[%d].", i)
		v.requireText(prefix+"name", string(team.Name))
		v.require(!seen[team.Name], prefix+"name", namedTwice)
		seen[team.Name] = true
		v.requireNotNegative(prefix+"cpus", team.GuaranteedCPUs)
		v.requireNotNegative(prefix+"cpus_max", team.MaxCPUs)
		v.requireNotNegative(prefix+"gpus", team.GuaranteedGPUs)
		v.requireNotNegative(prefix+"gpus_max", team.MaxGPUs)
	}
}

// checkWorkers checks the intervals and timeouts of agents. Short ones that may still
// work are allowed.
func (v *validator) checkWorkers(w *Workers) {
	v.requirePositive("settings.workers.report_s", float64(w.HeartbeatInterval))
	v.requirePositive("settings.workers.lease_s", float64(w.Lease))
	v.requirePositive("settings.workers.cancel_s", float64(w.CancelTimeout))
	if w.Lease > 0 {
		v.require(w.Lease > w.HeartbeatInterval, "settings.workers.lease_s", leaseTooShort)
	}
	v.requireFiniteNotNegative("settings.workers.gang_wait_s", float64(w.GangWait))
	v.requireFiniteNotNegative("settings.workers.gang_peer_s", float64(w.GangPeerTimeout))
}

// checkNextStoreLimits checks the announced limits of the key-value store, if there are any.
// A limit of 0 means that the present one stays.
func (v *validator) checkNextStoreLimits(next *NextStoreLimits) {
	if next == nil {
		return
	}
	v.requireNotNegative("settings.state.next.rps", next.RPS)
	v.requireNotNegative("settings.state.next.write_rps", next.WriteRPS)
	v.require(next.ValueKB == 0 || next.ValueKB >= minValueKB, "settings.state.next.value_kb", valueTooSmall)
	v.require(next.TxnOps == 0 || next.TxnOps >= minTxnWrites, "settings.state.next.txn_ops", tooFewTxnWrites)
}

// checkStoreLimits checks the present limits of the key-value store.
func (v *validator) checkStoreLimits(s *StoreLimits) {
	v.requirePositive("settings.state.rps", s.RPS)
	v.requirePositive("settings.state.write_rps", s.WriteRPS)
	v.requirePositive("settings.state.value_kb", s.ValueKB)
	if s.ValueKB > 0 {
		v.require(s.ValueKB >= minValueKB, "settings.state.value_kb", valueTooSmall)
	}
	v.require(s.TxnOps >= minTxnWrites, "settings.state.txn_ops", tooFewTxnWrites)
}

func (v *validator) checkCloud(c *CloudLimits) {
	v.requirePositive("settings.cloud.rps", c.RPS)
	v.requireNotNegative("settings.cloud.list_lag_s", float64(c.ListLag))
}

func (v *validator) checkProcessLimits(l *ProcessLimits) {
	v.requirePositive("settings.limits.cores", l.Cores)
	v.requirePositive("settings.limits.memory_mb", l.MemoryMB)
	v.require(l.FDLimit >= minFDLimit, "settings.limits.fd_limit", tooFewDescriptors)
}
