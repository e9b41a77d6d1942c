package progress

import (
	"slices"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// maxTxnBytes keeps a transaction below the store's limit of 64 KiB, with room for
	// its guards.
	maxTxnBytes = 48 << 10
	// guardsPerOp is how many guards the store accepts for each operation that it allows.
	guardsPerOp = 4
	// guardsPerWrite is how many guards one write needs at most.
	guardsPerWrite = 2
	// finalRecordBytes is the size of a job's final record, at most.
	finalRecordBytes = 200
	// archiveWrites is how many writes replace a job's record by its final record.
	archiveWrites = 2
)

// batch is one transaction, with what it changes in the model when it is committed.
type batch struct {
	txn wire.Txn
	// urgent means that it starts or ends something.
	urgent   bool
	chunks   []*cluster.Chunk
	launches []*cluster.Attempt // may be sent once it is committed
	archived []*cluster.Job     // replaced by their final records
	orphans  []wire.Guard       // deleted records of jobs that were archived before
	// leftovers are the records of its archived jobs that it has no room to delete. They
	// become orphans when it is committed.
	leftovers []wire.Guard

	maxOps       int
	singleRecord bool // it may hold one record only
	bytes        int  // of its values
	largestValue int  // in bytes
}

// newBatch returns an empty transaction that is committed only while the leader's key has
// the token.
func newBatch(token wire.FencingToken, maxOps int, singleRecord bool) *batch {
	leads := wire.Guard{Key: store.LeaderKey, Revision: wire.Revision(token)}
	return &batch{
		txn:          wire.Txn{Guards: []wire.Guard{leads}},
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

// isEmpty reports whether the transaction writes nothing.
func (b *batch) isEmpty() bool { return len(b.txn.Writes) == 0 }

// hasRoom reports whether so many writes with values of so many bytes in all can be added.
func (b *batch) hasRoom(writes, bytes int) bool {
	if b.singleRecord && b.records() > 0 {
		return false
	}
	ops := len(b.txn.Writes) + writes
	guards := len(b.txn.Guards) + guardsPerWrite*writes
	return ops <= b.maxOps && guards <= guardsPerOp*b.maxOps && b.bytes+bytes <= maxTxnBytes
}

// records returns how many of its records could be written in transactions of their own.
func (b *batch) records() int { return len(b.chunks) + len(b.archived) + len(b.orphans) }

// keys returns the keys that the transaction writes, for the log.
func (b *batch) keys() []string {
	var keys []string
	for _, w := range b.txn.Writes {
		keys = append(keys, w.PutKey+w.DeleteKey)
	}
	return keys
}

// changes reports whether the transaction writes the key.
func (b *batch) changes(key string) bool {
	return slices.ContainsFunc(b.txn.Writes, func(w wire.Write) bool { return w.PutKey == key || w.DeleteKey == key })
}

// hasGuard reports whether the transaction has a guard on the key.
func (b *batch) hasGuard(key string) bool {
	return slices.ContainsFunc(b.txn.Guards, func(g wire.Guard) bool { return g.Key == key })
}

// addGuard adds the condition that the key still has the revision.
func (b *batch) addGuard(key string, revision wire.Revision) {
	b.txn.Guards = append(b.txn.Guards, wire.Guard{Key: key, Revision: revision})
}

// putChunk writes a chunk's record.
func (b *batch) putChunk(c *cluster.Chunk, record *store.ChunkRecord) {
	size := record.JSONSize()
	b.bytes += size
	b.largestValue = max(b.largestValue, size)
	b.addGuard(c.Key(), c.Revision)
	b.txn.Writes = append(b.txn.Writes, wire.Write{PutKey: c.Key(), Value: wire.Encode(record)})
	b.chunks = append(b.chunks, c)
}

// deleteRecord deletes the record that a guard names.
func (b *batch) deleteRecord(g wire.Guard) {
	b.txn.Guards = append(b.txn.Guards, g)
	b.txn.Writes = append(b.txn.Writes, wire.Write{DeleteKey: g.Key})
}

// archive replaces a job that is over by its final record, unless the transaction has no
// room for it or a chunk of the job is being written. Chunks that have no room are deleted
// later, as orphans, but not before the transaction is committed: a job that is cancelled
// meanwhile is archived by another transaction, whose guards on chunks that are gone would
// fail forever.
func (b *batch) archive(j *cluster.Job) {
	if anyWriteInFlight(j) || !b.hasRoom(archiveWrites, finalRecordBytes) {
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

// anyWriteInFlight reports whether a chunk of the job is being written.
func anyWriteInFlight(j *cluster.Job) bool {
	return slices.ContainsFunc(j.Chunks, func(c *cluster.Chunk) bool { return c != nil && c.WriteInFlight })
}

// outcomeGuard returns a guard on one of the keys that the transaction writes. All its
// writes are committed or none is, so that the key's revision shows which.
func (b *batch) outcomeGuard() wire.Guard {
	guards := b.txn.Guards
	outcome := guards[len(guards)-1]
	for _, g := range guards[1:] { // the first one is on the leader's key
		if b.changes(g.Key) {
			outcome = g
		}
	}
	return outcome
}
