package store

import (
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// A task must be counted by its sub-chunk if there is one, and by its chunk otherwise. The
// model is a list of the tasks' states.
func TestCountTasksPrefersSubchunks(t *testing.T) {
	const chunkTasks, subchunkTasks = 64, 16
	const idle, doneTask, activeTask = 0, 1, 2
	rapid.Check(t, func(t *rapid.T) {
		states := func(name string, n int) []int {
			return rapid.SliceOfN(rapid.IntRange(idle, activeTask), n, n).Draw(t, name)
		}
		entry := func(key string, states []int, subchunkTasks int) wire.Entry {
			record := ChunkRecord{SubchunkTasks: subchunkTasks}
			done := make([]bool, len(states))
			for task, state := range states {
				done[task] = state == doneTask
				if state == activeTask {
					record.Active = append(record.Active, ActiveAttempt{Task: task, Attempt: 1, Machine: "n-1"})
				}
			}
			record.Done = PackRanges(done)
			return wire.Entry{Key: key, Value: wire.Encode(record)}
		}
		effective := states("chunk", chunkTasks)
		entries := []wire.Entry{entry(ChunkKey("req-1", 0), effective, 0)}
		for subchunk := range chunkTasks / subchunkTasks {
			if rapid.Bool().Draw(t, "has a subchunk") {
				subchunkStates := states("subchunk", subchunkTasks)
				copy(effective[subchunk*subchunkTasks:], subchunkStates)
				entries = append(entries, entry(SubchunkKey("req-1", 0, subchunk), subchunkStates, subchunkTasks))
			}
		}
		unsplit := states("other chunk", chunkTasks) // a chunk without sub-chunks
		entries = append(entries, entry(ChunkKey("req-1", 1), unsplit, 0), wire.Entry{Key: ChunkKey("req-1", 2), Value: wire.RawValue{0xff}})
		wantDone, wantActive := 0, 0
		for _, state := range append(effective, unsplit...) {
			switch state {
			case doneTask:
				wantDone++
			case activeTask:
				wantActive++
			}
		}
		if done, active := CountTasks(entries); done != wantDone || active != wantActive {
			t.Fatalf("CountTasks: got %d done, %d active, want %d, %d", done, active, wantDone, wantActive)
		}
	})
}
