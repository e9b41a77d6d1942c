package store

import "lilaclead/internal/wire"

// ChunkSize is the number of tasks of one chunk at most.
const ChunkSize = 256

// ChunkTasksFor is the number of tasks that a chunk may have where values have so many
// KiB: it fits with every task on a machine, however often started, and in every
// mix of states. (At 4 KiB an array of 200 tasks in one chunk was just too large
// once most had been started again.)
func ChunkTasksFor(valueKB float64) int {
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

// ActiveAttempt is an attempt that may be on a machine.
type ActiveAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    int      // counted within the chunk
	Attempt wire.Attempt
	Machine wire.MachineID
}

// ChunkRecord is the progress of up to ChunkSize tasks.
type ChunkRecord struct {
	// NextAttempt is the next attempt's number; it only grows.
	NextAttempt wire.Attempt `cbor:"n"`
	// Done lists ranges of completed tasks: from, to (exclusive), from, …
	Done []int `cbor:"d"`
	// Active lists the attempts that may be on a machine.
	Active []ActiveAttempt `cbor:"r"`
	// SubchunkTasks, of a subchunk, is how many tasks each subchunk has.
	SubchunkTasks int `cbor:"s,omitempty"`
}

// PackRanges packs flags as ranges: from, to (exclusive), from, to…
func PackRanges(flags []bool) []int {
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

// SetFlags sets the flags of the ranges; what lies outside is ignored.
func SetFlags(ranges []int, flags []bool) {
	for i := 0; i+1 < len(ranges); i += 2 {
		for t := max(0, ranges[i]); t < min(ranges[i+1], len(flags)); t++ {
			flags[t] = true
		}
	}
}

// CountRanges is the number of tasks within the ranges.
func CountRanges(ranges []int) int {
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
	for _, h := range c.Active {
		n += digits(uint64(h.Task)) + digits(uint64(h.Attempt)) + len(h.Machine) + heldMarks
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

// CountTasks counts the tasks that are done and those that may be on machines, by
// all that is stored of a job's progress.
func CountTasks(entries []wire.Entry) (done, held int) {
	type span struct{ from, to int }
	subchunks := map[int][]span{} // by chunk: those that hold in its place
	recs := make([]ChunkRecord, len(entries))
	for i, e := range entries {
		if wire.Decode(e.Value, &recs[i]) != nil {
			recs[i] = ChunkRecord{}
		} else if _, n, k, ok := ParseSubchunkKey(e.Key); ok {
			subchunks[n] = append(subchunks[n], span{k * recs[i].SubchunkTasks, (k + 1) * recs[i].SubchunkTasks})
		}
	}
	for i, e := range entries {
		rec := &recs[i]
		done, held = done+CountRanges(rec.Done), held+len(rec.Active)
		_, n, ok := ParseChunkKey(e.Key)
		if !ok {
			continue
		}
		for _, p := range subchunks[n] {
			for k := 0; k+1 < len(rec.Done); k += 2 {
				done -= max(0, min(rec.Done[k+1], p.to)-max(rec.Done[k], p.from))
			}
			for _, h := range rec.Active {
				if h.Task >= p.from && h.Task < p.to {
					held--
				}
			}
		}
	}
	return done, held
}
