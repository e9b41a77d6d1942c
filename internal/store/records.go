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
	JobPrefix  = "job/"
	RunPrefix  = "run/"
	pastPrefix = "past/"
	// LeadKey is held by the leader on its grant.
	LeadKey = "lead"
	// FlavorsKey keeps the machine types last seen, so that a node that
	// starts while the cloud is down can still judge submissions.
	FlavorsKey = "fact/flavors"
	// SettingsKey holds the operators' own settings.
	SettingsKey = "fact/settings"
)

// JobKey of a live job.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// PastKey of a job that is over.
func PastKey(id wire.JobID) string { return pastPrefix + string(id) }

// ChunkKey of a part of a job's progress.
func ChunkKey(id wire.JobID, n int) string {
	return RunPrefix + string(id) + "/" + strconv.Itoa(n)
}

// ParseChunkKey reverses ChunkKey.
func ParseChunkKey(key string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(strings.TrimPrefix(key, RunPrefix), "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i >= 0 && wire.JobID(id).Valid()
}

// PieceKey of a piece of a chunk that has become too large to be written again.
// The chunk stays as it is, and for the tasks of a piece that exists the piece
// holds in its place. So each is replaced by itself, in one transaction.
func PieceKey(id wire.JobID, n, piece int) string {
	return ChunkKey(id, n) + "/" + strconv.Itoa(piece)
}

// ParsePieceKey reverses PieceKey.
func ParsePieceKey(key string) (id wire.JobID, n, piece int, ok bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", 0, 0, false
	}
	id, n, ok = ParseChunkKey(key[:at])
	piece, err := strconv.Atoi(key[at+1:])
	return id, n, piece, ok && err == nil && piece >= 0
}

// JobRecord is the value of job/<id>.
type JobRecord struct {
	Spec   wire.Spec   `cbor:"spec"`
	Status wire.Status `cbor:"status"`
	// At is when the job was accepted, Ended when it was cancelled.
	At    wire.Timestamp `cbor:"at"`
	Ended wire.Timestamp `cbor:"ended,omitempty"`
	// Chunk is how many tasks a chunk of its progress has, fixed when the job
	// is accepted; 0: ChunkSize.
	Chunk int `cbor:"chunk,omitempty"`
}

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
	return rec, nil
}

// Tell notes the job's cancellation, if it is cancelled.
func (r *JobRecord) Tell(l *cancels.Log) {
	if r.Status == wire.Cancelled {
		l.Add(r.Spec.ID, r.Cancelled())
	}
}

// Cancelled is how long ago the job was cancelled, by clocks that may be off.
func (r *JobRecord) Cancelled() time.Duration { return max(0, time.Since(r.Ended.Time())) }

// ChunkTasks is how many tasks a chunk of the job's progress has.
func (r *JobRecord) ChunkTasks() int {
	if r.Chunk < 1 || r.Chunk > ChunkSize {
		return ChunkSize
	}
	return r.Chunk
}

// PastRecord is the value of past/<id>.
type PastRecord struct {
	Status wire.Status `cbor:"status"`
	Done   int         `cbor:"done"`
}

// LeadRecord is the value of the leader's key.
type LeadRecord struct {
	Node wire.NodeID `cbor:"node"`
	// Nonce tells one life of a process from the next.
	Nonce string `cbor:"nonce"`
}

// ChunkSize is the number of tasks of one chunk at most.
const ChunkSize = 256

// ChunkFor is the number of tasks that a chunk may have where values have so many
// KiB: it fits with every task on a machine, however often started, and in every
// mix of states. (At 4 KiB an array of 200 tasks in one chunk was just too large
// once most had been started again.)
func ChunkFor(valueKB float64) int {
	return max(1, min(ChunkSize, int(valueKB*1024-recordBytes)/heldBytes))
}

// recordBytes and heldBytes are what a chunk and each attempt in it take in JSON:
// a task of 3 digits, an attempt's number of 8, a machine's name of 14 bytes. A
// range of completed tasks takes less.
const (
	recordBytes = 64
	heldBytes   = 3 + 8 + 14 + heldMarks
	heldMarks   = 10 // brackets, commas with a space, quotation marks
)

// Held is an attempt that may be on a machine.
type Held struct {
	_    struct{} `cbor:",toarray"`
	Task int      // counted within the chunk
	Try  wire.Attempt
	On   wire.MachineID
}

// ChunkRecord is the progress of up to ChunkSize tasks.
type ChunkRecord struct {
	// Next is the next attempt's number; it only grows.
	Next wire.Attempt `cbor:"n"`
	// Done lists ranges of completed tasks: from, to (exclusive), from, …
	Done []int `cbor:"d"`
	// Held lists the attempts that may be on a machine.
	Held []Held `cbor:"r"`
	// Size, of a piece of a chunk, is how many tasks each piece has.
	Size int `cbor:"s,omitempty"`
}

// Ranges packs flags as ranges: from, to (exclusive), from, to…
func Ranges(flags []bool) []int {
	var out []int
	for i := 0; i < len(flags); i++ {
		if !flags[i] {
			continue
		}
		j := i
		for j < len(flags) && flags[j] {
			j++
		}
		out = append(out, i, j)
		i = j
	}
	return out
}

// Unpack sets the flags of the ranges; what lies outside is ignored.
func Unpack(ranges []int, flags []bool) {
	for i := 0; i+1 < len(ranges); i += 2 {
		for t := max(0, ranges[i]); t < min(ranges[i+1], len(flags)); t++ {
			flags[t] = true
		}
	}
}

// Count is the number of tasks within the ranges.
func Count(ranges []int) int {
	n := 0
	for i := 0; i+1 < len(ranges); i += 2 {
		n += ranges[i+1] - ranges[i]
	}
	return n
}

// JSONSize estimates the size of a value in the form in which the service
// counts it, from above.
func (c *ChunkRecord) JSONSize() int {
	n := recordBytes
	for _, d := range c.Done {
		n += digits(uint64(d)) + 2
	}
	for _, h := range c.Held {
		n += digits(uint64(h.Task)) + digits(uint64(h.Try)) + len(h.On) + heldMarks
	}
	return n
}

func digits(n uint64) int {
	d := 1
	for ; n > 9; n /= 10 {
		d++
	}
	return d
}

// CountAll counts the tasks that are done and those that may be on machines, by
// all that is stored of a job's progress.
func CountAll(entries []wire.Entry) (done, held int) {
	type span struct{ from, to int }
	pieces := map[int][]span{} // of a chunk, that hold in its place
	recs := make([]ChunkRecord, len(entries))
	for i, e := range entries {
		if wire.Decode(e.Value, &recs[i]) != nil {
			recs[i] = ChunkRecord{}
		} else if _, n, k, ok := ParsePieceKey(e.Key); ok {
			pieces[n] = append(pieces[n], span{k * recs[i].Size, (k + 1) * recs[i].Size})
		}
	}
	for i, e := range entries {
		rec := &recs[i]
		done, held = done+Count(rec.Done), held+len(rec.Held)
		_, n, ok := ParseChunkKey(e.Key)
		if !ok {
			continue
		}
		for _, p := range pieces[n] {
			for k := 0; k+1 < len(rec.Done); k += 2 {
				done -= max(0, min(rec.Done[k+1], p.to)-max(rec.Done[k], p.from))
			}
			for _, h := range rec.Held {
				if h.Task >= p.from && h.Task < p.to {
					held--
				}
			}
		}
	}
	return done, held
}
