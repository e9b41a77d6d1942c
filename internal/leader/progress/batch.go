package progress

import (
	"slices"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// maxTxnBytes bounds the total size of a transaction's values. The rest of the store's
	// limit of 64 KiB for a transaction is left to the guards.
	maxTxnBytes = 48 << 10
	// guardsPerOp is the store's limit on the guards of a transaction, as a multiple of its
	// limit on the writes.
	guardsPerOp = 4
	// maxGuardsPerWrite is the most guards that one write needs.
	maxGuardsPerWrite = 2
	// maxFinalRecordBytes bounds the size of a job's final record.
	maxFinalRecordBytes = 200
	// archiveWrites is how many writes replace a job's record with its final record.
	archiveWrites = 2
)

// batch is one transaction, with the chunks, launches and jobs whose state in the model
// depends on its outcome.
type batch struct {
	txn wire.Txn
	// urgent means that it launches tasks, archives jobs or holds overdue routine writes.
	urgent   bool
	chunks   []*cluster.Chunk
	launches []*cluster.Attempt // sent once the transaction is committed
	archived []*cluster.Job     // their records are replaced with final records
	orphans  []wire.Guard       // guards on the orphans that it deletes; see Writer.Orphans
	// leftovers are guards on those records of its archived jobs whose deletion does not fit
	// in it. They become orphans when it is committed.
	leftovers []wire.Guard

	maxOps            int  // the most writes that it may hold
	singleRecord      bool // it may hold only one record
	totalValueBytes   int
	largestValueBytes int
}

// newBatch returns an empty transaction. Its guard on the leader's key lets it be committed
// only while the token is that key's revision.
func newBatch(token wire.FencingToken, maxOps int, singleRecord bool) *batch {
	leaderGuard := wire.Guard{Key: store.LeaderKey, Revision: wire.Revision(token)}
	return &batch{
		txn:          wire.Txn{Guards: []wire.Guard{leaderGuard}},
		maxOps:       maxOps,
		singleRecord: singleRecord,
	}
}

// requestClass returns the class of the request budget that the transaction is charged to.
func (b *batch) requestClass() store.RequestClass {
	if b.urgent {
		return store.ClassCritical
	}
	return store.ClassBackground
}

func (b *batch) isEmpty() bool { return len(b.txn.Writes) == 0 }

// hasRoom reports whether the given number of writes can be added, with values of valueBytes
// bytes in total.
func (b *batch) hasRoom(writes, valueBytes int) bool {
	if b.singleRecord && b.recordCount() > 0 {
		return false
	}
	ops := len(b.txn.Writes) + writes
	guards := len(b.txn.Guards) + maxGuardsPerWrite*writes
	return ops <= b.maxOps && guards <= guardsPerOp*b.maxOps && b.totalValueBytes+valueBytes <= maxTxnBytes
}

// recordCount returns the number of records that could each be written in a transaction of
// their own.
func (b *batch) recordCount() int { return len(b.chunks) + len(b.archived) + len(b.orphans) }

// writtenKeys returns the keys that the transaction puts or deletes, for the log.
func (b *batch) writtenKeys() []string {
	var keys []string
	for _, w := range b.txn.Writes {
		keys = append(keys, w.PutKey+w.DeleteKey)
	}
	return keys
}

// writesKey reports whether the transaction puts or deletes the key.
func (b *batch) writesKey(key string) bool {
	return slices.ContainsFunc(b.txn.Writes, func(w wire.Write) bool { return w.PutKey == key || w.DeleteKey == key })
}

func (b *batch) hasGuard(key string) bool {
	return slices.ContainsFunc(b.txn.Guards, func(g wire.Guard) bool { return g.Key == key })
}

// addGuard adds the condition that the key still has the revision.
func (b *batch) addGuard(key string, revision wire.Revision) {
	b.txn.Guards = append(b.txn.Guards, wire.Guard{Key: key, Revision: revision})
}

// putChunk adds the write of a chunk's record, with a guard on its known revision.
func (b *batch) putChunk(c *cluster.Chunk, record *store.ChunkRecord) {
	size := record.MaxJSONSize()
	b.totalValueBytes += size
	b.largestValueBytes = max(b.largestValueBytes, size)
	b.addGuard(c.Key(), c.Revision)
	b.txn.Writes = append(b.txn.Writes, wire.Write{PutKey: c.Key(), Value: wire.Encode(record)})
	b.chunks = append(b.chunks, c)
}

// deleteRecord adds a guard and the deletion of the record that it is on.
func (b *batch) deleteRecord(g wire.Guard) {
	b.txn.Guards = append(b.txn.Guards, g)
	b.txn.Writes = append(b.txn.Writes, wire.Write{DeleteKey: g.Key})
}

// archive replaces a finished job's record with its final record. It does nothing if these
// writes do not fit in the transaction, or if a chunk of the job is being written. It deletes
// as many of the job's chunks as fit. The others are deleted later, as orphans, but not before
// this transaction is committed: it fails if the job is cancelled meanwhile. Another
// transaction then archives the job, and its guards on chunks that no longer exist would fail
// forever.
func (b *batch) archive(j *cluster.Job) {
	if anyWriteInFlight(j) || !b.hasRoom(archiveWrites, maxFinalRecordBytes) {
		return
	}
	id := j.Spec.ID
	final := store.FinalRecord{Status: j.FinalStatus(), Done: j.DoneTasks}
	b.addGuard(store.JobKey(id), j.Revision)
	b.addGuard(store.FinalKey(id), 0)
	b.txn.Writes = append(b.txn.Writes,
		wire.Write{DeleteKey: store.JobKey(id)},
		wire.Write{PutKey: store.FinalKey(id), Value: wire.Encode(final)})
	for _, g := range j.StoredGuards() {
		if b.hasRoom(1, 0) {
			b.deleteRecord(g)
		} else {
			b.leftovers = append(b.leftovers, g)
		}
	}
	j.Archiving = true
	b.archived = append(b.archived, j)
}

func anyWriteInFlight(j *cluster.Job) bool {
	return slices.ContainsFunc(j.Chunks, func(c *cluster.Chunk) bool { return c != nil && c.WriteInFlight })
}

// outcomeGuard returns a guard on one of the keys that the transaction writes. The writes of
// a transaction are committed together or not at all, so the current revision of that one
// key shows whether the transaction was committed.
func (b *batch) outcomeGuard() wire.Guard {
	guards := b.txn.Guards
	outcome := guards[len(guards)-1]
	for _, g := range guards[1:] { // the first guard is on the leader's key
		if b.writesKey(g.Key) {
			outcome = g
		}
	}
	return outcome
}
