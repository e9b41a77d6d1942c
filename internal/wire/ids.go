// Package wire holds the types that cross a boundary: what users, workers, the
// cloud, the state service and the other nodes send and receive, in the
// spelling of PROTOCOL, together with the small types for ids, versions and
// times that the rest of the program uses.
package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

type (
	// JobID is the id that a user chose for a job.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// NodeID is the name of one of our own processes' hosts.
	NodeID string
	// TeamID names a team.
	TeamID string
	// Zone names a zone.
	Zone string
	// MachineType names a machine type.
	MachineType string
	// ImageID names an image.
	ImageID string
	// FencingToken says who may command the workers; the higher one wins.
	FencingToken uint64
	// Revision counts the changes of the state service.
	Revision uint64
	// GrantID names a lease of the state service.
	GrantID uint64
	// Attempt numbers the starts of a task; it is never used twice.
	Attempt uint64
	// AgentEpoch counts how often a worker's lease has ended, from 1.
	AgentEpoch uint64
	// Sequence orders the messages of a worker within a session.
	Sequence uint64
	// Seconds is a duration as the protocol writes it.
	Seconds float64
	// Timestamp is a time of day in milliseconds, comparable between nodes only
	// within the bound that the settings give.
	Timestamp int64
)

// Duration converts to the time package's type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// TimestampOf converts a time of day.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time converts back.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s)) }

// Task is one part of a job.
type Task struct {
	Job   JobID
	Index int
}

// String gives the protocol's form, "req-000412/3".
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

var errTask = errors.New("malformed task id")

// ParseTask reads the protocol's form.
func ParseTask(s string) (Task, error) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return Task{}, errTask
	}
	digits := s[slash+1:]
	n, err := strconv.Atoi(digits)
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != digits {
		return Task{}, errTask
	}
	id := JobID(s[:slash])
	if !id.Valid() {
		return Task{}, errTask
	}
	return Task{Job: id, Index: n}, nil
}

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

const maxDigits = 32

// Valid tells whether the id has the one form that ids have.
func (id JobID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), "req-")
	if !ok || digits == "" || len(digits) > maxDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// MarshalText lets a task be a key of a CBOR map or a log attribute.
func (t Task) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// FieldError names the field that is wrong and why.
type FieldError struct {
	Field  string
	Reason string
}

func (e FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }
