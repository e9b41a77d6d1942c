package store

import "lilaclead/internal/wire"

// MaxTasksPerChunk is the largest number of tasks in one chunk.
const MaxTasksPerChunk = 256

// TasksPerChunkForLimit returns the largest number of tasks in a chunk under a limit of
// valueKB KiB on a value. A chunk of that size fits the limit in every mix of task states,
// also with every task on a machine and however often the tasks were started. (At 4 KiB, one
// chunk with 200 tasks would exceed the limit once most of them have been started again.)
func TasksPerChunkForLimit(valueKB float64) int {
	return max(1, min(MaxTasksPerChunk, int(valueKB*1024-baseChunkBytes)/attemptBytes))
}

// These are sizes in JSON, in bytes: of a chunk without its lists, and of each attempt in
// it, with 3 digits for the task, 8 for the attempt number and 14 bytes for the name of the
// machine. A range of completed tasks takes less than an attempt.
const (
	baseChunkBytes   = 64
	attemptBytes     = 3 + 8 + 14 + punctuationBytes
	punctuationBytes = 10 // brackets, commas with a space, quotation marks
)

// ActiveAttempt is one attempt to run a task. The attempt may be on a machine.
type ActiveAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    int      // index within the chunk or sub-chunk
	Attempt wire.AttemptNumber
	Machine wire.MachineID
}

// ChunkRecord is the progress of up to MaxTasksPerChunk tasks.
type ChunkRecord struct {
	// NextAttempt is the number of the next attempt; it only grows.
	NextAttempt wire.AttemptNumber `cbor:"n"`
	// Done lists the ranges of completed tasks: from, to (exclusive), from, to…
	Done []int `cbor:"d"`
	// Active lists the attempts that may be on a machine.
	Active []ActiveAttempt `cbor:"r"`
	// SubchunkTasks is the number of tasks in each sub-chunk of a chunk. It is set in the
	// records of sub-chunks only.
	SubchunkTasks int `cbor:"s,omitempty"`
}

// MaxJSONSize returns an upper bound of the record's size in JSON, in bytes. The store
// applies its limit on a value to that form.
func (c *ChunkRecord) MaxJSONSize() int {
	size := baseChunkBytes
	for _, bound := range c.Done {
		size += decimalDigits(uint64(bound)) + 2
	}
	for _, active := range c.Active {
		size += decimalDigits(uint64(active.Task)) + decimalDigits(uint64(active.Attempt)) + len(active.Machine) + punctuationBytes
	}
	return size
}

func decimalDigits(n uint64) int {
	digits := 1
	for ; n > 9; n /= 10 {
		digits++
	}
	return digits
}
