package leader

import (
	"slices"

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

// batch is one transaction under way, with what it stands for.
type batch struct {
	txn       wire.Txn
	urgent    bool // starts or ends something
	chunks    []*chunk
	planned   []*attempt
	finished  []*job       // archived by it
	orphans   []wire.Guard // what it drops of jobs that are archived
	dropAfter []wire.Guard // what is to be dropped once it is executed
	largest   int          // size of the largest value in it

	maxOps int
	bytes  int
	single bool // holds one record only
}

// newBatch is an empty transaction that is executed only while the token is the
// leader's.
func newBatch(token wire.FencingToken, maxOps int, single bool) *batch {
	leads := wire.Guard{Key: store.LeaderKey, Revision: wire.Revision(token)}
	return &batch{txn: wire.Txn{Guards: []wire.Guard{leads}}, maxOps: maxOps, single: single}
}

// class of the calls' budget that it is charged to.
func (b *batch) class() store.RequestClass {
	if b.urgent {
		return store.Critical
	}
	return store.Background
}

// full tells whether it has no room for so many writes, each with a guard or two,
// and values of so many bytes.
func (b *batch) full(writes, bytes int) bool {
	return b.single && b.records() > 0 ||
		len(b.txn.Writes)+writes > b.maxOps ||
		len(b.txn.Guards)+2*writes > guardsPerOp*b.maxOps ||
		b.bytes+bytes > maxTxnBytes
}

// records is how many records it holds that can be written one by one.
func (b *batch) records() int { return len(b.chunks) + len(b.finished) + len(b.orphans) }

// keys that it writes, for the log.
func (b *batch) keys() (out []string) {
	for _, w := range b.txn.Writes {
		out = append(out, w.Put+w.Delete)
	}
	return
}

func (b *batch) guard(key string, revision wire.Revision) {
	b.txn.Guards = append(b.txn.Guards, wire.Guard{Key: key, Revision: revision})
}

func (b *batch) guards(key string) bool {
	return slices.ContainsFunc(b.txn.Guards, func(g wire.Guard) bool { return g.Key == key })
}

func (b *batch) putChunk(c *chunk, rec *store.ChunkRecord) {
	size := rec.JSONSize()
	b.bytes += size
	b.largest = max(b.largest, size)
	b.guard(c.key(), c.revision)
	b.txn.Writes = append(b.txn.Writes, wire.Write{Put: c.key(), Value: wire.Encode(rec)})
	b.chunks = append(b.chunks, c)
}

func (b *batch) drop(g wire.Guard) {
	b.txn.Guards = append(b.txn.Guards, g)
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: g.Key})
}

// archive replaces a job that is over by its final record. Chunks beyond
// what one transaction takes are dropped later, as orphans, but not before it is
// executed: a job that is cancelled meanwhile is archived by another one, whose
// guards on chunks that are gone would fail for ever.
func (b *batch) archive(j *job) {
	for _, c := range j.chunks {
		if c != nil && c.writeInFlight {
			return
		}
	}
	if b.full(2, finalRecordBytes) {
		return
	}
	id := j.spec.ID
	final := store.FinalRecord{Status: j.finalStatus(), Done: j.doneTasks}
	b.guard(store.JobKey(id), j.revision)
	b.guard(store.FinalKey(id), 0)
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: store.JobKey(id)},
		wire.Write{Put: store.FinalKey(id), Value: wire.Encode(final)})
	for _, g := range j.storedGuards() {
		if b.full(1, 0) {
			b.dropAfter = append(b.dropAfter, g)
			continue
		}
		b.drop(g)
	}
	j.archiving = true
	b.finished = append(b.finished, j)
}

// tellingGuard is a guard on one of the keys that it writes. All its writes share
// one fate, so that key tells whether it was executed.
func (b *batch) tellingGuard() wire.Guard {
	telling := b.txn.Guards[len(b.txn.Guards)-1]
	for _, g := range b.txn.Guards[1:] {
		if slices.ContainsFunc(b.txn.Writes, func(w wire.Write) bool { return w.Put == g.Key || w.Delete == g.Key }) {
			telling = g
		}
	}
	return telling
}
