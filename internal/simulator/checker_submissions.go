package simulator

import (
	"math"
	"regexp"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// cannotRun returns why a job can never run, empty if it can.
func (c *Checker) cannotRun(s *wire.JobSpec) string {
	if c.MachineSpecs == nil {
		return ""
	}
	limit, known := c.Limits[s.Team]
	if !known {
		return "its team is unknown"
	}
	n := float64(s.MinConcurrentTasks())
	if limit.CPUs > 0 && n*s.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && n*s.GPUs > limit.GPUs+wire.AmountTolerance {
		return "it needs more than its team's limit"
	}
	for i := range c.MachineSpecs {
		f := &c.MachineSpecs[i]
		for _, z := range f.Zones {
			r := MachineRoom{Place: Place{Type: f.Name, Zone: z}, CPUs: f.CPUs, GPUs: f.GPUs, MemoryGB: f.MemoryGB, DiskGB: f.DiskGB}
			if r.takes(s, nil) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// SubmissionSent checks the answer to a submission, whose body may be malformed.
func (c *Checker) SubmissionSent(raw []byte, status int, now time.Time) {
	var m map[string]any
	unread := wire.Decode(raw, &m) != nil
	id, _ := m["nameId"].(string)
	c.posted[wire.JobID(id)] = true
	if status != 200 && status != 201 {
		return
	}
	why := "it is not a map"
	if !unread {
		why = malformed(m)
	}
	if why != "" {
		c.violated(now, AcceptedWrongly, "%q accepted, but %s", id, why)
	}
	var s wire.JobSpec
	if j := c.jobs[wire.JobID(id)]; j == nil && wire.Decode(raw, &s) == nil && why == "" {
		if why := c.cannotRun(&s); why != "" {
			c.violated(now, AcceptedWrongly, "%s accepted, but %s", id, why)
		}
	}
}

// formOfID matches the names of jobs.
var formOfID = regexp.MustCompile(`^req-[0-9]{6,}$`)

// malformed says what is wrong with a submission by PROTOCOL's table; empty:
// nothing. It judges by itself, not as the nodes do.
func malformed(m map[string]any) string {
	texts := []string{"nameId", "lane", "owner", "shape", "urgency", "bundle"}
	amounts := []string{"parts", "cpus", "cards", "ramGb", "imageGb", "expectedS", "snapshotEveryS", "snapshotS"}
	for _, k := range texts {
		if v, ok := m[k].(string); !ok || v == "" {
			return k + " is no text"
		}
	}
	for _, k := range amounts {
		if v, ok := number(m[k]); !ok || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return k + " is no amount"
		}
	}
	for _, k := range []string{"samePlace", "apart", "standby"} {
		if _, ok := m[k].(bool); !ok {
			return k + " is neither true nor false"
		}
	}
	if _, text := m["site"].(string); !text && m["site"] != nil {
		return "site is no text"
	}
	if due, ok := number(m["dueS"]); m["dueS"] != nil && (!ok || due < 0) {
		return "dueS is no amount"
	}
	machineTypes, list := m["kits"].([]any)
	if m["kits"] != nil && !list {
		return "kits is no list"
	}
	for _, name := range machineTypes {
		if _, text := name.(string); !text {
			return "kits has what is no text"
		}
	}
	if tasks, _ := number(m["parts"]); tasks < 1 || tasks > 100_000 || tasks != math.Trunc(tasks) {
		return "parts is not from 1 to 100,000"
	}
	if !formOfID.MatchString(m["nameId"].(string)) {
		return "nameId has another form"
	}
	if !slices.Contains([]any{"sweep", "daemon", "ensemble"}, m["shape"]) {
		return "shape is unknown"
	}
	if !slices.Contains([]any{"prod", "urgent", "standard", "best_effort"}, m["urgency"]) {
		return "urgency is unknown"
	}
	return ""
}

// number reads a number of any kind.
func number(v any) (float64, bool) {
	switch n := v.(type) {
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}
