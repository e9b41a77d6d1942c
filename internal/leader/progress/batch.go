package progress

import (
	"slices"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// maxTxnBytes keeps a transaction below the service's 64 KiB, with room
	// for guards.
	maxTxnBytes = 48 << 10
	// guardsPerOp: the service takes so many guards for each operation.
	guardsPerOp = 4
	// finalRecordBytes is the size of a job's final record, at most.
	finalRecordBytes = 200
)

// Batch is one transaction under way, with what it stands for.
type Batch struct {
	Txn       wire.Txn
	Urgent    bool // starts or ends something
	Chunks    []*cluster.Chunk
	Planned   []*cluster.Attempt
	Finished  []*cluster.Job // archived by it
	Orphans   []wire.Guard   // what it drops of jobs that are archived
	dropAfter []wire.Guard   // what is to be dropped once it is executed
	largest   int            // size of the largest value in it

	maxOps int
	bytes  int
	single bool // holds one record only
}

// newBatch is an empty transaction that is executed only while the token is the
// leader's.
func newBatch(token wire.FencingToken, maxOps int, single bool) *Batch {
	leads := wire.Guard{Key: store.LeaderKey, Revision: wire.Revision(token)}
	return &Batch{Txn: wire.Txn{Guards: []wire.Guard{leads}}, maxOps: maxOps, single: single}
}

// Class of the calls' budget that it is charged to.
func (b *Batch) Class() store.RequestClass {
	if b.Urgent {
		return store.Critical
	}
	return store.Background
}

// full tells whether it has no room for so many writes, each with a guard or two,
// and values of so many bytes.
func (b *Batch) full(writes, bytes int) bool {
	return b.single && b.records() > 0 ||
		len(b.Txn.Writes)+writes > b.maxOps ||
		len(b.Txn.Guards)+2*writes > guardsPerOp*b.maxOps ||
		b.bytes+bytes > maxTxnBytes
}

// records is how many records it holds that can be written one by one.
func (b *Batch) records() int { return len(b.Chunks) + len(b.Finished) + len(b.Orphans) }

// keys that it writes, for the log.
func (b *Batch) keys() (out []string) {
	for _, w := range b.Txn.Writes {
		out = append(out, w.Put+w.Delete)
	}
	return
}

func (b *Batch) guard(key string, revision wire.Revision) {
	b.Txn.Guards = append(b.Txn.Guards, wire.Guard{Key: key, Revision: revision})
}

func (b *Batch) guards(key string) bool {
	return slices.ContainsFunc(b.Txn.Guards, func(g wire.Guard) bool { return g.Key == key })
}

func (b *Batch) putChunk(c *cluster.Chunk, rec *store.ChunkRecord) {
	size := rec.JSONSize()
	b.bytes += size
	b.largest = max(b.largest, size)
	b.guard(c.Key(), c.Revision)
	b.Txn.Writes = append(b.Txn.Writes, wire.Write{Put: c.Key(), Value: wire.Encode(rec)})
	b.Chunks = append(b.Chunks, c)
}

func (b *Batch) drop(g wire.Guard) {
	b.Txn.Guards = append(b.Txn.Guards, g)
	b.Txn.Writes = append(b.Txn.Writes, wire.Write{Delete: g.Key})
}

// archive replaces a job that is over by its final record. Chunks beyond
// what one transaction takes are dropped later, as orphans, but not before it is
// executed: a job that is cancelled meanwhile is archived by another one, whose
// guards on chunks that are gone would fail for ever.
func (b *Batch) archive(j *cluster.Job) {
	for _, c := range j.Chunks {
		if c != nil && c.WriteInFlight {
			return
		}
	}
	if b.full(2, finalRecordBytes) {
		return
	}
	id := j.Spec.ID
	final := store.FinalRecord{Status: j.FinalStatus(), Done: j.DoneTasks}
	b.guard(store.JobKey(id), j.Revision)
	b.guard(store.FinalKey(id), 0)
	b.Txn.Writes = append(b.Txn.Writes, wire.Write{Delete: store.JobKey(id)},
		wire.Write{Put: store.FinalKey(id), Value: wire.Encode(final)})
	for _, g := range j.StoredGuards() {
		if b.full(1, 0) {
			b.dropAfter = append(b.dropAfter, g)
			continue
		}
		b.drop(g)
	}
	j.Archiving = true
	b.Finished = append(b.Finished, j)
}

// TellingGuard is a guard on one of the keys that it writes. All its writes share
// one fate, so that key tells whether it was executed.
func (b *Batch) TellingGuard() wire.Guard {
	telling := b.Txn.Guards[len(b.Txn.Guards)-1]
	for _, g := range b.Txn.Guards[1:] {
		if slices.ContainsFunc(b.Txn.Writes, func(w wire.Write) bool { return w.Put == g.Key || w.Delete == g.Key }) {
			telling = g
		}
	}
	return telling
}
