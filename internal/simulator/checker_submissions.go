package simulator

import (
	"math"
	"regexp"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// cannotRun returns why a job can never run, empty if it can.
func (c *Checker) cannotRun(job *wire.JobSpec) string {
	if c.MachineSpecs == nil {
		return ""
	}
	limit, known := c.Limits[job.Team]
	if !known {
		return "its team is unknown"
	}
	minTasks := float64(job.MinConcurrentTasks())
	if limit.CPUs > 0 && minTasks*job.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && minTasks*job.GPUs > limit.GPUs+wire.AmountTolerance {
		return "it needs more than its team's limit"
	}
	for i := range c.MachineSpecs {
		spec := &c.MachineSpecs[i]
		for _, zone := range spec.Zones {
			machine := MachineCapacity{Place: Place{Type: spec.Name, Zone: zone}, CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, DiskGB: spec.DiskGB}
			if machine.fits(job, nil) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// SubmissionSent records a submission, whose body may be malformed, and checks its response;
// status 0 means no response yet.
func (c *Checker) SubmissionSent(raw []byte, status int, now time.Time) {
	var fields map[string]any
	undecodable := wire.Decode(raw, &fields) != nil
	id, _ := fields["nameId"].(string)
	c.submittedIDs[wire.JobID(id)] = true
	if status != 200 && status != 201 {
		return
	}
	why := "it is not a map"
	if !undecodable {
		why = whyMalformed(fields)
	}
	if why != "" {
		c.violated(now, AcceptedWrongly, "%q accepted, but %s", id, why)
	}
	var spec wire.JobSpec
	if j := c.jobs[wire.JobID(id)]; j == nil && wire.Decode(raw, &spec) == nil && why == "" {
		if why := c.cannotRun(&spec); why != "" {
			c.violated(now, AcceptedWrongly, "%s accepted, but %s", id, why)
		}
	}
}

// jobIDPattern matches well-formed job IDs.
var jobIDPattern = regexp.MustCompile(`^req-[0-9]{6,}$`)

// whyMalformed returns what is wrong with a submission according to the table in PROTOCOL,
// empty if nothing is. It shares no code with the controllers, so that it finds their mistakes.
func whyMalformed(fields map[string]any) string {
	textFields := []string{"nameId", "lane", "owner", "shape", "urgency", "bundle"}
	amountFields := []string{"parts", "cpus", "cards", "ramGb", "imageGb", "expectedS", "snapshotEveryS", "snapshotS"}
	for _, name := range textFields {
		if value, ok := fields[name].(string); !ok || value == "" {
			return name + " is no text"
		}
	}
	for _, name := range amountFields {
		if value, ok := number(fields[name]); !ok || value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
			return name + " is no amount"
		}
	}
	for _, name := range []string{"samePlace", "apart", "standby"} {
		if _, ok := fields[name].(bool); !ok {
			return name + " is neither true nor false"
		}
	}
	if _, isText := fields["site"].(string); !isText && fields["site"] != nil {
		return "site is no text"
	}
	if deadline, ok := number(fields["dueS"]); fields["dueS"] != nil && (!ok || deadline < 0) {
		return "dueS is no amount"
	}
	machineTypes, isList := fields["kits"].([]any)
	if fields["kits"] != nil && !isList {
		return "kits is no list"
	}
	for _, machineType := range machineTypes {
		if _, isText := machineType.(string); !isText {
			return "kits has what is no text"
		}
	}
	if tasks, _ := number(fields["parts"]); tasks < 1 || tasks > 100_000 || tasks != math.Trunc(tasks) {
		return "parts is not from 1 to 100,000"
	}
	if !jobIDPattern.MatchString(fields["nameId"].(string)) {
		return "nameId has another form"
	}
	if !slices.Contains([]any{"sweep", "daemon", "ensemble"}, fields["shape"]) {
		return "shape is unknown"
	}
	if !slices.Contains([]any{"prod", "urgent", "standard", "best_effort"}, fields["urgency"]) {
		return "urgency is unknown"
	}
	return ""
}

// number converts a decoded number of any type to a float64.
func number(v any) (float64, bool) {
	switch x := v.(type) {
	case uint64:
		return float64(x), true
	case int64:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}
