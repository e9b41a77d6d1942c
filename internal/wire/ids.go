package wire

import "strings"

type (
	// JobID is the id that a user chose for a job.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// NodeID is the host name of one of this program's own processes.
	NodeID string
	// TeamID names a team.
	TeamID string
	// Zone names a zone.
	Zone string
	// MachineType names a machine type.
	MachineType string
	// ImageID names an image.
	ImageID string
	// FencingToken says who may command the workers: they obey the highest they have seen.
	FencingToken uint64
	// Revision counts the changes of the key-value store.
	Revision uint64
	// GrantID names a lease of the key-value store.
	GrantID uint64
	// AttemptNumber numbers the starts of a task; a number is never used twice.
	AttemptNumber uint64
	// AgentEpoch counts how often a worker's lease has ended, from 1.
	AgentEpoch uint64
	// Sequence orders the messages of a worker within an agent epoch.
	Sequence uint64
)

const (
	jobIDPrefix    = "req-"
	maxJobIDDigits = 32
)

// Valid reports whether the id has the one form that ids have, "req-000412".
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
