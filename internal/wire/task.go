package wire

import (
	"errors"
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the protocol's form, "req-000412/3".
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText lets a task be a key of a CBOR map or a log attribute.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

var errMalformedTaskID = errors.New("malformed task id")

// ParseTaskID parses the protocol's form. Each task has exactly one such form: a leading
// zero or a sign in the index is an error.
func ParseTaskID(s string) (TaskID, error) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return TaskID{}, errMalformedTaskID
	}
	digits := s[slash+1:]
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != digits {
		return TaskID{}, errMalformedTaskID
	}
	id := JobID(s[:slash])
	if !id.Valid() {
		return TaskID{}, errMalformedTaskID
	}
	return TaskID{Job: id, Index: index}, nil
}
