package store

import "lilaclead/internal/wire"

// taskSpan is the range [from, to) of tasks in a chunk that belong to a sub-chunk.
type taskSpan struct{ from, to int }

func (s taskSpan) contains(task int) bool { return task >= s.from && task < s.to }

// CountTasks counts the tasks of a job that are done and those that may be on machines. The
// entries are all chunks and sub-chunks of the job; those that can't be decoded are ignored.
func CountTasks(entries []wire.Entry) (done, active int) {
	records := make([]ChunkRecord, len(entries))
	superseded := map[int][]taskSpan{} // by chunk: the tasks for which a sub-chunk counts instead
	for i, entry := range entries {
		if wire.Decode(entry.Value, &records[i]) != nil {
			records[i] = ChunkRecord{}
		} else if _, chunk, subchunk, ok := ParseSubchunkKey(entry.Key); ok {
			size := records[i].SubchunkTasks
			superseded[chunk] = append(superseded[chunk], taskSpan{subchunk * size, (subchunk + 1) * size})
		}
	}
	for i, entry := range entries {
		record := &records[i]
		done += CountRanges(record.Done)
		active += len(record.Active)
		if _, chunk, ok := ParseChunkKey(entry.Key); ok {
			supersededDone, supersededActive := record.countWithin(superseded[chunk])
			done -= supersededDone
			active -= supersededActive
		}
	}
	return done, active
}

// countWithin counts the tasks within the spans that are done or active in the record.
func (c *ChunkRecord) countWithin(spans []taskSpan) (done, active int) {
	for _, span := range spans {
		done += countRangesWithin(c.Done, span.from, span.to)
		for _, attempt := range c.Active {
			if span.contains(attempt.Task) {
				active++
			}
		}
	}
	return done, active
}
