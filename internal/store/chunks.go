package store

import "lilaclead/internal/wire"

// MaxTasksPerChunk is the largest number of tasks in one chunk.
const MaxTasksPerChunk = 256

// ChunkTasksFor returns the number of tasks that a chunk may have where a value may have
// so many KiB: the chunk fits with every task on a machine, however often started, and in
// every mix of states. (At 4 KiB a job array of 200 tasks in one chunk was just too large
// once most had been started again.)
func ChunkTasksFor(valueKB float64) int {
	return max(1, min(MaxTasksPerChunk, int(valueKB*1024-chunkBytes)/attemptBytes))
}

// chunkBytes and attemptBytes are what a chunk and each attempt in it take in JSON:
// a task of 3 digits, an attempt's number of 8, a machine's name of 14 bytes. A
// range of completed tasks takes less.
const (
	chunkBytes         = 64
	attemptBytes       = 3 + 8 + 14 + attemptPunctuation
	attemptPunctuation = 10 // brackets, commas with a space, quotation marks
)

// ActiveAttempt is an attempt that may be on a machine.
type ActiveAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    int      // counted within the chunk
	Attempt wire.AttemptNumber
	Machine wire.MachineID
}

// ChunkRecord is the progress of up to MaxTasksPerChunk tasks.
type ChunkRecord struct {
	// NextAttempt is the number of the next attempt; it only grows.
	NextAttempt wire.AttemptNumber `cbor:"n"`
	// Done lists ranges of completed tasks: from, to (exclusive), from, to…
	Done []int `cbor:"d"`
	// Active lists the attempts that may be on a machine.
	Active []ActiveAttempt `cbor:"r"`
	// SubchunkTasks is, in a subchunk, how many tasks each subchunk of the chunk has.
	SubchunkTasks int `cbor:"s,omitempty"`
}

// JSONSize estimates the size of the record in the form in which the service
// counts it, from above.
func (c *ChunkRecord) JSONSize() int {
	size := chunkBytes
	for _, bound := range c.Done {
		size += decimalDigits(uint64(bound)) + 2
	}
	for _, active := range c.Active {
		size += decimalDigits(uint64(active.Task)) + decimalDigits(uint64(active.Attempt)) + len(active.Machine) + attemptPunctuation
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
