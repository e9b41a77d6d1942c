package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// intentRetry is the pause before a write of intents without an outcome is repeated.
const intentRetry = 200 * time.Millisecond

// IntentKey is where the intents of a duty are recorded.
func IntentKey(d Name) string { return "intent/" + string(d) }

// IntentRecord is what is stored of a duty's open intents: requests that may be on
// their way to a receiver. It is written under the lease's token.
type IntentRecord[T any] struct {
	Token FencingToken   `cbor:"token"`
	At    wire.Timestamp `cbor:"at"`
	Open  []T            `cbor:"open"`
}

// Intents records a duty's open intents before they are carried out, in one record
// that is replaced as a whole. It is used by one goroutine at a time.
//
// A receiver that knows no tokens takes a request of an earlier holder as well as
// one of ours. So nothing is sent that is not recorded here, by a write that fails
// once another holds the lease; a successor reads the record and carries out, under
// the same names, what is open. Whichever request arrives first has the effect that
// the successor counts with; the others find it done.
type Intents[D Duty, T any] struct {
	lease *Lease
	limit int // of the record's size in bytes
	// revision of the record as last read or written, 0: none.
	revision Revision
	loaded   bool
	latest   []T
}

// OpenIntents are a duty's intents for the holder of a lease; limit is the largest
// size of a value in the state service, in bytes.
func OpenIntents[D Duty, T any](l *Lease, limit int) *Intents[D, T] {
	return &Intents[D, T]{lease: l, limit: limit}
}

func (i *Intents[D, T]) key() string { return IntentKey(nameOf[D]()) }

// Load reads what an earlier holder left open, and when that was recorded. Nothing
// can be recorded before.
func (i *Intents[D, T]) Load(ctx context.Context) (IntentRecord[T], error) {
	var rec IntentRecord[T]
	e, err := i.lease.candidate.Store.Get(ctx, store.Critical, i.key())
	switch {
	case errors.Is(err, ErrMissing):
	case err != nil:
		return rec, err
	default:
		if err := wire.Decode(e.Value, &rec); err != nil {
			i.lease.candidate.Undecodable(i.key(), err)
			return rec, fmt.Errorf("%w: %s", ErrUndecodable, i.key())
		}
	}
	i.revision, i.loaded, i.latest = e.Revision, true, rec.Open
	return rec, nil
}

// Loaded tells whether the record was read.
func (i *Intents[D, T]) Loaded() bool { return i.loaded }

// Open is what the record holds, as far as known.
func (i *Intents[D, T]) Open() []T { return i.latest }

// Fits tells whether the intents have room in one record.
func (i *Intents[D, T]) Fits(open []T) bool {
	return wire.JSONSize(i.record(open)) <= i.limit
}

func (i *Intents[D, T]) record(open []T) IntentRecord[T] {
	return IntentRecord[T]{Token: i.lease.Token(), At: wire.TimestampOf(i.lease.clock().Now()), Open: open}
}

// Record replaces the record by these open intents. Only after nil may they be
// carried out. It is repeated while its outcome is not known, as long as the lease
// is surely held.
func (i *Intents[D, T]) Record(ctx context.Context, open []T) error {
	if !i.loaded {
		return fmt.Errorf("%w: %s was not read", ErrNoPermit, i.key())
	}
	if !i.Fits(open) {
		return ErrTooLarge
	}
	for {
		done, err := i.tryRecord(ctx, open)
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.lease.clock().After(intentRetry):
		}
	}
}

// tryRecord tries once; false without an error: it is to be tried again.
func (i *Intents[D, T]) tryRecord(ctx context.Context, open []T) (bool, error) {
	permit, err := PermitFor[D](i.lease)
	if err != nil {
		return false, err
	}
	// The record's own revision is a guard too: a try without an answer that is
	// executed late must not undo a later one.
	revision, err := permit.Commit(ctx, store.Critical, Txn{
		Guards: []Guard{{Key: i.key(), Revision: i.revision}},
		Writes: []Write{{Put: i.key(), Value: wire.Encode(i.record(open))}},
	})
	var conflict *ConflictError
	switch {
	case err == nil:
		i.revision, i.latest = revision, open
		i.lease.event(Recorded, permit.Name(), fmt.Sprint(len(open), " open"))
		return true, nil
	case errors.As(err, &conflict):
		return false, i.conflicted(ctx, conflict)
	case errors.Is(err, ErrUnknown):
		return false, nil
	}
	return false, err
}

// conflicted takes in that a guard failed: nil if the write is to be tried again.
func (i *Intents[D, T]) conflicted(ctx context.Context, conflict *ConflictError) error {
	// The lease's key may have a new revision by a raised token of ours.
	if conflict.Has(i.lease.candidate.Key) && !i.ours(ctx) {
		return ErrHeldByOther
	}
	if conflict.Has(i.key()) {
		// An earlier try of ours was executed: nobody else can write the record
		// while we hold the lease.
		e, err := i.lease.candidate.Store.Get(ctx, store.Critical, i.key())
		if err == nil || errors.Is(err, ErrMissing) {
			i.revision = e.Revision
		}
	}
	return nil
}

// ours tells whether the lease's key may still be this holder's.
func (i *Intents[D, T]) ours(ctx context.Context) bool {
	c := i.lease.candidate
	e, err := c.Store.Get(ctx, store.Critical, c.Key)
	if errors.Is(err, ErrMissing) {
		return false
	}
	return err != nil || c.wrote(e, i.lease.terms.Grant)
}
