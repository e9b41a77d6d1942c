package store

import "lilaclead/internal/wire"

// taskSpan is the tasks of a chunk that a subchunk holds in its place: [from, to).
type taskSpan struct{ from, to int }

func (s taskSpan) contains(task int) bool { return task >= s.from && task < s.to }

// CountTasks counts the tasks that are done and those that may be on machines, by
// all that is stored of a job's progress. Records that can't be decoded count nothing.
func CountTasks(entries []wire.Entry) (done, active int) {
	records := make([]ChunkRecord, len(entries))
	replaced := map[int][]taskSpan{} // by chunk: what its subchunks hold in its place
	for i, entry := range entries {
		if wire.Decode(entry.Value, &records[i]) != nil {
			records[i] = ChunkRecord{}
		} else if _, chunk, subchunk, ok := ParseSubchunkKey(entry.Key); ok {
			size := records[i].SubchunkTasks
			replaced[chunk] = append(replaced[chunk], taskSpan{subchunk * size, (subchunk + 1) * size})
		}
	}
	for i, entry := range entries {
		record := &records[i]
		done += CountRanges(record.Done)
		active += len(record.Active)
		if _, chunk, ok := ParseChunkKey(entry.Key); ok {
			replacedDone, replacedActive := record.countWithin(replaced[chunk])
			done -= replacedDone
			active -= replacedActive
		}
	}
	return done, active
}

// countWithin counts the tasks of a chunk that its subchunks hold in its place.
func (c *ChunkRecord) countWithin(spans []taskSpan) (done, active int) {
	for _, span := range spans {
		done += countWithin(c.Done, span.from, span.to)
		for _, attempt := range c.Active {
			if span.contains(attempt.Task) {
				active++
			}
		}
	}
	return done, active
}
