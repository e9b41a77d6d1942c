package wire

import "strings"

type (
	// JobID is the id that a user chose for a job.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// NodeID is the host name of one of this program's own processes.
	NodeID string
	// TeamID is the name under which the settings list a team.
	TeamID string
	// Zone is the cloud's name for a zone.
	Zone string
	// MachineType is the cloud's name for a machine type.
	MachineType string
	// ImageID names the image from which a task is run.
	ImageID string
	// FencingToken decides whose commands an agent obeys: only those with the highest token
	// that it has seen.
	FencingToken uint64
	// Revision numbers the changes of the key-value store.
	Revision uint64
	// GrantID identifies a lease (grant) of the key-value store.
	GrantID uint64
	// AttemptNumber numbers the starts of a task; a number is never used twice.
	AttemptNumber uint64
	// AgentEpoch starts at 1 and increases whenever an agent's lease ends.
	AgentEpoch uint64
	// Sequence orders the messages of an agent within an agent epoch.
	Sequence uint64
)

// MinToken is the lowest token that a command may carry. An agent that has seen none yet shows 0.
const MinToken FencingToken = 1

const (
	jobIDPrefix    = "req-"
	maxJobIDDigits = 32
)

// Valid reports whether the id has the only form of job ids: "req-" and 1 to 32 digits, as
// in "req-000412".
func (id JobID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), jobIDPrefix)
	if !ok || digits == "" || len(digits) > maxJobIDDigits {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}
