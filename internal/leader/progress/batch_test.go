package progress

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// newStoredJob returns a job with the given number of stored chunks, each of one task that is
// done.
func newStoredJob(id wire.JobID, chunks int) *cluster.Job {
	spec := wire.JobSpec{ID: id, Team: "red", Kind: wire.KindArray, Tasks: chunks, CPUs: 1}
	j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now()), TasksPerChunk: 1}, 9)
	for n := range j.Chunks {
		c := j.Chunk(n)
		c.TaskStates[0] = cluster.TaskDone
		c.Revision = wire.Revision(10 + n)
		j.DoneTasks++
	}
	return j
}

func TestArchiveDeletesAsManyChunksAsFitInTheTransaction(t *testing.T) {
	cases := []struct {
		name          string
		maxOps        int
		chunks        int
		writeInFlight bool
		wantWrites    int
		wantLeftovers int
	}{
		{"all chunks have room", 12, 3, false, archiveWrites + 3, 0},
		{"some chunks have room", 4, 3, false, archiveWrites + 2, 1},
		{"no room for the final record", 1, 3, false, 0, 0},
		{"a chunk is being written", 12, 3, true, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newStoredJob("req-1", c.chunks)
			j.Chunk(0).WriteInFlight = c.writeInFlight
			b := newBatch(testToken, c.maxOps, false)
			b.archive(j)
			if got := len(b.txn.Writes); got != c.wantWrites || len(b.leftovers) != c.wantLeftovers {
				t.Errorf("archive: got %d writes, %d leftovers, want %d, %d", got, len(b.leftovers), c.wantWrites, c.wantLeftovers)
			}
			if archived := len(b.archived) == 1; archived != (c.wantWrites > 0) || j.Archiving != archived {
				t.Errorf("archive: got archived %v, archiving %v, want %v", archived, j.Archiving, c.wantWrites > 0)
			}
		})
	}
}

func TestOutcomeGuardIsOnAKeyThatTheTransactionWrites(t *testing.T) {
	j := newStoredJob("req-1", 1)
	b := newBatch(testToken, 12, false)
	record := j.Chunk(0).Record()
	b.putChunk(j.Chunk(0), &record)
	b.addGuard(store.JobKey("req-1"), j.Revision) // guards the launch; the key is not written
	if got, want := b.outcomeGuard(), (wire.Guard{Key: store.ChunkKey("req-1", 0), Revision: 10}); got != want {
		t.Errorf("outcome guard: got %+v, want %+v", got, want)
	}
}

func TestSingleRecordBatchHasRoomForOneRecordOnly(t *testing.T) {
	b := newBatch(testToken, 12, true)
	if !b.hasRoom(1, 0) {
		t.Error("room in an empty batch: got false, want true")
	}
	b.archive(newStoredJob("req-1", 1))
	if b.hasRoom(1, 0) {
		t.Error("room beside a record: got true, want false")
	}
	if got := len(b.leftovers); got != 0 {
		t.Errorf("leftovers: got %d, want 0", got)
	}
}
