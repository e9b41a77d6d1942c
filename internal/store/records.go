package store

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

// The layout of the key-value store. A live job is one record, job/<id>, with its spec and
// its status; its progress is in chunks, run/<id>/<n>. When the job has ended and none of
// its tasks can run any more, one transaction replaces these by past/<id>. A reader reads
// job/<id> first and, if there is none, past/<id>: in this order it can't miss both.
const (
	// JobPrefix is the prefix of the keys of live jobs.
	JobPrefix = "job/"
	// ProgressPrefix is the prefix of the keys of the chunks and sub-chunks of jobs.
	ProgressPrefix = "run/"
	// finalPrefix is the prefix of the keys of jobs that have ended.
	finalPrefix = "past/"
	// LeaderKey holds the leader's record; the key is bound to the leader's lease.
	LeaderKey = "lead"
	// MachineSpecsKey holds the machine types that were last read from the cloud, so that a
	// node that starts while the cloud is down can still check submissions against them.
	MachineSpecsKey = "fact/flavors"
	// SettingsKey holds the operators' own settings.
	SettingsKey = "fact/settings"
)

// JobKey returns the key of a live job.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// FinalKey returns the key of a job that has ended.
func FinalKey(id wire.JobID) string { return finalPrefix + string(id) }

// ChunkKey returns the key of a chunk of a job's progress.
func ChunkKey(id wire.JobID, chunk int) string {
	return ProgressPrefix + string(id) + "/" + strconv.Itoa(chunk)
}

// ParseChunkKey returns the job and the chunk of a key that ChunkKey returns; ok reports
// whether the key is of that form.
func ParseChunkKey(key string) (id wire.JobID, chunk int, ok bool) {
	job, number, hasNumber := strings.Cut(strings.TrimPrefix(key, ProgressPrefix), "/")
	id = wire.JobID(job)
	chunk, err := strconv.Atoi(number)
	isNumber := err == nil && chunk >= 0
	return id, chunk, hasNumber && isNumber && id.Valid()
}

// SubchunkKey returns the key of a sub-chunk: a section of a chunk whose record has become too
// large to be written again. The chunk's record stays as it is; for the tasks of a sub-chunk that
// has a record, that record counts instead. So each section is written by itself, in one
// transaction.
func SubchunkKey(id wire.JobID, chunk, subchunk int) string {
	return ChunkKey(id, chunk) + "/" + strconv.Itoa(subchunk)
}

// ParseSubchunkKey returns the job, the chunk and the sub-chunk of a key that SubchunkKey
// returns; ok reports whether the key is of that form.
func ParseSubchunkKey(key string) (id wire.JobID, chunk, subchunk int, ok bool) {
	lastSlash := strings.LastIndexByte(key, '/')
	if lastSlash < 0 {
		return "", 0, 0, false
	}
	id, chunk, isChunk := ParseChunkKey(key[:lastSlash])
	subchunk, err := strconv.Atoi(key[lastSlash+1:])
	isNumber := err == nil && subchunk >= 0
	return id, chunk, subchunk, isChunk && isNumber
}

// JobRecord is the value of job/<id>.
type JobRecord struct {
	Spec   wire.JobSpec `cbor:"spec"`
	Status wire.Status  `cbor:"status"`
	// AcceptedAt is when the job was accepted.
	AcceptedAt wire.Timestamp `cbor:"at"`
	// CancelledAt is when the job was cancelled; 0: it was not.
	CancelledAt wire.Timestamp `cbor:"ended,omitempty"`
	// TasksPerChunk is the number of tasks in each chunk of the job's progress, fixed when
	// the job is accepted; 0: MaxTasksPerChunk.
	TasksPerChunk int `cbor:"chunk,omitempty"`
	// MinVersion is the lowest version of the behaviour (package upgrade) that
	// understands the record in full; 0: all do.
	MinVersion uint64 `cbor:"needs,omitempty"`
}

// MaxSupportedVersion is the highest version of the behaviour that this program understands.
const MaxSupportedVersion = 2

// ErrRecordTooNew is returned for a record that only a later version understands. Nodes must not
// rewrite such a record, which would lose the fields that they don't understand, and must not
// respond with 404 to a request for its job.
var ErrRecordTooNew = errors.New("state: the record is of a later version")

// ErrRecordMismatch is returned for a record that can be decoded, but is not a valid record of
// the job that its key names.
var ErrRecordMismatch = errors.New("state: not the record of that job")

// DecodeJob decodes the record of a live job that is stored under the key. It refuses a
// record that names another job, which would be written back to another key, and one with a
// number of tasks that no job may have, which might take all memory.
func DecodeJob(key string, value wire.RawValue) (JobRecord, error) {
	var record JobRecord
	if err := wire.Decode(value, &record); err != nil {
		return JobRecord{}, err
	}
	validTasks := record.Spec.Tasks >= 1 && record.Spec.Tasks <= wire.MaxTasks
	if JobKey(record.Spec.ID) != key || !validTasks {
		return JobRecord{}, ErrRecordMismatch
	}
	if record.MinVersion > MaxSupportedVersion {
		return JobRecord{}, ErrRecordTooNew
	}
	return record, nil
}

// LogCancellation adds the job to the log of cancellations, if it is cancelled.
func (r *JobRecord) LogCancellation(log *cancels.Log) {
	if r.Status == wire.StatusCancelled {
		log.Add(r.Spec.ID, r.SinceCancelled())
	}
}

// SinceCancelled returns how long ago the job was cancelled, and 0 for a time in the future:
// the clock of the node that cancelled the job may differ from this node's.
func (r *JobRecord) SinceCancelled() time.Duration { return max(0, time.Since(r.CancelledAt.Time())) }

// EffectiveTasksPerChunk returns the number of tasks in each chunk of the job's progress.
func (r *JobRecord) EffectiveTasksPerChunk() int {
	if r.TasksPerChunk < 1 || r.TasksPerChunk > MaxTasksPerChunk {
		return MaxTasksPerChunk
	}
	return r.TasksPerChunk
}

// FinalRecord is the value of past/<id>.
type FinalRecord struct {
	Status wire.Status `cbor:"status"`
	Done   int         `cbor:"done"` // number of completed tasks
}

// LeaseRecord is the value of the leader's key.
type LeaseRecord struct {
	Node wire.NodeID `cbor:"node"`
	// Nonce distinguishes one process of a node from the next.
	Nonce string `cbor:"nonce"`
}
