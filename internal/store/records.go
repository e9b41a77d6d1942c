package store

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

// Layout of the state service. A live job is one record, job/<id>, with its
// spec and its one status; its progress lies beside it in chunks,
// run/<id>/<n>. When the job is over and nothing of it can run any more, one
// transaction replaces these by past/<id>. A reader that finds no job/<id>
// reads past/<id> next, in this order, so that it can't miss both.
const (
	JobPrefix      = "job/"
	ProgressPrefix = "run/"
	finalPrefix    = "past/"
	// LeaderKey is held by the leader on its grant.
	LeaderKey = "lead"
	// MachineSpecsKey keeps the machine types last seen, so that a node that
	// starts while the cloud is down can still judge submissions.
	MachineSpecsKey = "fact/flavors"
	// SettingsKey holds the operators' own settings.
	SettingsKey = "fact/settings"
)

// JobKey of a live job.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// FinalKey of a job that is over.
func FinalKey(id wire.JobID) string { return finalPrefix + string(id) }

// ChunkKey of a chunk of a job's progress.
func ChunkKey(id wire.JobID, n int) string {
	return ProgressPrefix + string(id) + "/" + strconv.Itoa(n)
}

// ParseChunkKey reverses ChunkKey.
func ParseChunkKey(key string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(strings.TrimPrefix(key, ProgressPrefix), "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i >= 0 && wire.JobID(id).Valid()
}

// SubchunkKey of a part of a chunk that has become too large to be written again.
// The chunk stays as it is, and for the tasks of a subchunk that exists the subchunk
// holds in its place. So each is replaced by itself, in one transaction.
func SubchunkKey(id wire.JobID, n, subchunk int) string {
	return ChunkKey(id, n) + "/" + strconv.Itoa(subchunk)
}

// ParseSubchunkKey reverses SubchunkKey.
func ParseSubchunkKey(key string) (id wire.JobID, n, subchunk int, ok bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", 0, 0, false
	}
	id, n, ok = ParseChunkKey(key[:at])
	subchunk, err := strconv.Atoi(key[at+1:])
	return id, n, subchunk, ok && err == nil && subchunk >= 0
}

// JobRecord is the value of job/<id>.
type JobRecord struct {
	Spec   wire.JobSpec `cbor:"spec"`
	Status wire.Status  `cbor:"status"`
	// AcceptedAt is when the job was accepted, Ended when it was cancelled.
	AcceptedAt  wire.Timestamp `cbor:"at"`
	CancelledAt wire.Timestamp `cbor:"ended,omitempty"`
	// Chunk is how many tasks a chunk of its progress has, fixed when the job
	// is accepted; 0: ChunkSize.
	Chunk int `cbor:"chunk,omitempty"`
	// MinVersion is the version of the behaviour (package upgrade) from which on programs
	// understand the record in full; 0: all do.
	MinVersion uint64 `cbor:"needs,omitempty"`
}

// Version is the highest version of the behaviour that this program understands.
const Version = 2

// ErrNewer is returned for a record that only a later version understands. It is
// neither rewritten, which would lose what is not understood, nor answered 404.
var ErrNewer = errors.New("state: the record is of a later version")

// ErrNotAJob is returned for a record that decodes, but is no job's.
var ErrNotAJob = errors.New("state: not the record of that job")

// DecodeJob reads the record of a live job that lies under the key. A record that
// names another job, or no number of tasks that a job may have, is none: taken for
// one, it would be written to another key, or take all memory.
func DecodeJob(key string, v wire.Raw) (JobRecord, error) {
	var rec JobRecord
	if err := wire.Decode(v, &rec); err != nil {
		return JobRecord{}, err
	}
	if JobKey(rec.Spec.ID) != key || rec.Spec.Tasks < 1 || rec.Spec.Tasks > wire.MaxTasks {
		return JobRecord{}, ErrNotAJob
	}
	if rec.MinVersion > Version {
		return JobRecord{}, ErrNewer
	}
	return rec, nil
}

// LogCancellation adds the job to the log of cancellations, if it is cancelled.
func (r *JobRecord) LogCancellation(l *cancels.Log) {
	if r.Status == wire.Cancelled {
		l.Add(r.Spec.ID, r.SinceCancelled())
	}
}

// SinceCancelled is how long ago the job was cancelled, by clocks that may be off.
func (r *JobRecord) SinceCancelled() time.Duration { return max(0, time.Since(r.CancelledAt.Time())) }

// ChunkTasks is how many tasks a chunk of the job's progress has.
func (r *JobRecord) ChunkTasks() int {
	if r.Chunk < 1 || r.Chunk > ChunkSize {
		return ChunkSize
	}
	return r.Chunk
}

// FinalRecord is the value of past/<id>.
type FinalRecord struct {
	Status wire.Status `cbor:"status"`
	Done   int         `cbor:"done"`
}

// LeaderRecord is the value of the leader's key.
type LeaderRecord struct {
	Node wire.NodeID `cbor:"node"`
	// Nonce tells one process of a node from the next.
	Nonce string `cbor:"nonce"`
}
