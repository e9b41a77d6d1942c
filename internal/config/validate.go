package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"lilaclead/internal/wire"
)

const (
	// minValueKB holds the record of one job.
	minValueKB = 0.5
	// minTxnOps: a job's record is replaced by its final one in one transaction.
	minTxnOps = 2
	// minFDLimit serves a deployment of a few machines.
	minFDLimit = 64
)

// What is wrong with a field.
const (
	missing        = "missing"
	namedTwice     = "named twice"
	notHostPort    = "must be host:port"
	notPositive    = "must be above 0"
	negative       = "must be 0 or more"
	valueTooSmall  = "must be 0.5 or more, to hold one job"
	tooFewTxnOps   = "must be 2 or more: a job's record is replaced by its final one"
	tooFewSockets  = "must be 64 or more"
	leaseTooShort  = "must be longer than report_s: leases would end between two reports"
	tooFewNodes    = "must be 1 or more"
	wrongNodeCount = "is %d, but others and this node make %d"
)

// validator collects what is wrong, each error with its field.
type validator struct{ errs []error }

// Validate reports everything that is wrong, each error with its field.
func (c *Config) Validate() error {
	var v validator
	v.node(c)
	v.deployment(&c.Settings, len(c.Peers)+1)
	v.teams(c.Settings.Teams)
	v.workers(&c.Settings.Workers)
	v.nextState(c.Settings.State.Next)
	v.state(&c.Settings.State)
	v.positive("settings.cloud.rps", c.Settings.Cloud.RPS)
	v.require(c.Settings.Cloud.ListLag >= 0, "settings.cloud.list_lag_s", negative)
	v.limits(&c.Settings.Limits)
	return errors.Join(v.errs...)
}

// require reports the field unless the condition holds. Conditions are written so
// that they fail for NaN.
func (v *validator) require(holds bool, field, reason string) {
	if !holds {
		v.errs = append(v.errs, wire.FieldError{Field: field, Reason: reason})
	}
}

func (v *validator) text(field, value string) { v.require(value != "", field, missing) }

func (v *validator) address(field, value string) {
	_, port, err := net.SplitHostPort(value)
	v.require(err == nil && port != "", field, notHostPort)
}

func (v *validator) positive(field string, value float64) {
	v.require(value > 0 && !math.IsInf(value, 1), field, notPositive)
}

func (v *validator) finite(field string, value float64) {
	v.require(value >= 0 && !math.IsInf(value, 1), field, negative)
}

func (v *validator) node(c *Config) {
	v.text("host_name", string(c.HostName))
	v.text("zone", string(c.Zone))
	v.address("front", c.UserAddr)
	v.address("peer_bind", c.PeerAddr)
	seen := map[wire.NodeID]bool{c.HostName: true}
	for i, p := range c.Peers {
		at := fmt.Sprintf("others[%d].", i)
		v.text(at+"host_name", string(p.HostName))
		v.address(at+"addr", p.Addr)
		v.require(!seen[p.HostName], at+"host_name", namedTwice)
		seen[p.HostName] = true
	}
	v.address("endpoints.cloud", c.Endpoints.Cloud)
	v.address("endpoints.state", c.Endpoints.State)
}

func (v *validator) deployment(s *Settings, nodes int) {
	if s.Size < 1 {
		v.require(false, "settings.size", tooFewNodes)
	} else {
		v.require(s.Size == nodes, "settings.size", fmt.Sprintf(wrongNodeCount, s.Size, nodes))
	}
	v.require(len(s.Zones) > 0, "settings.zones", missing)
	v.require(len(s.Teams) > 0, "settings.teams", missing)
	for i, z := range s.Zones {
		v.text(fmt.Sprintf("settings.zones[%d]", i), string(z))
	}
}

func (v *validator) teams(teams []Team) {
	seen := map[wire.TeamID]bool{}
	for i, t := range teams {
		at := fmt.Sprintf("settings.teams[%d].", i)
		v.text(at+"name", string(t.Name))
		v.require(!seen[t.Name], at+"name", namedTwice)
		seen[t.Name] = true
		v.require(t.CPUs >= 0, at+"cpus", negative)
		v.require(t.CPUsMax >= 0, at+"cpus_max", negative)
		v.require(t.GPUs >= 0, at+"gpus", negative)
		v.require(t.GPUsMax >= 0, at+"gpus_max", negative)
	}
}

func (v *validator) workers(w *Workers) {
	v.positive("settings.workers.report_s", float64(w.HeartbeatInterval))
	v.positive("settings.workers.lease_s", float64(w.Lease))
	v.positive("settings.workers.cancel_s", float64(w.CancelTimeout))
	if w.Lease > 0 {
		v.require(w.Lease > w.HeartbeatInterval, "settings.workers.lease_s", leaseTooShort)
	}
	v.finite("settings.workers.gang_wait_s", float64(w.GangWait))
	v.finite("settings.workers.gang_peer_s", float64(w.GangPeerTimeout))
}

// nextState checks limits to come, of which 0 means as before.
func (v *validator) nextState(n *NextState) {
	if n == nil {
		return
	}
	v.require(n.RPS >= 0, "settings.state.next.rps", negative)
	v.require(n.WriteRPS >= 0, "settings.state.next.write_rps", negative)
	v.require(n.ValueKB == 0 || n.ValueKB >= minValueKB, "settings.state.next.value_kb", valueTooSmall)
	v.require(n.TxnOps == 0 || n.TxnOps >= minTxnOps, "settings.state.next.txn_ops", tooFewTxnOps)
}

func (v *validator) state(s *State) {
	v.positive("settings.state.rps", s.RPS)
	v.positive("settings.state.write_rps", s.WriteRPS)
	v.positive("settings.state.value_kb", s.ValueKB)
	if s.ValueKB > 0 {
		v.require(s.ValueKB >= minValueKB, "settings.state.value_kb", valueTooSmall)
	}
	v.require(s.TxnOps >= minTxnOps, "settings.state.txn_ops", tooFewTxnOps)
}

func (v *validator) limits(l *Limits) {
	v.positive("settings.limits.cores", l.Cores)
	v.positive("settings.limits.memory_mb", l.MemoryMB)
	v.require(l.FDLimit >= minFDLimit, "settings.limits.fd_limit", tooFewSockets)
}
