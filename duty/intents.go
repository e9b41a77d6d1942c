package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// intentRetryDelay is the pause before intents are written again, after a write with an
// unknown outcome.
const intentRetryDelay = 200 * time.Millisecond

// IntentKey returns the key of the store under which the intents of a duty are recorded.
func IntentKey(d Name) string { return "intent/" + string(d) }

// IntentRecord is the stored form of a duty's open intents: requests that may be on their
// way to a receiver. Token and At are the lease's fencing token and the holder's time when
// it was written.
type IntentRecord[T any] struct {
	Token FencingToken   `cbor:"token"`
	At    wire.Timestamp `cbor:"at"`
	Open  []T            `cbor:"open"`
}

// Intents record the open intents of a duty before they are carried out, in one record
// that is replaced as a unit. Only one goroutine at a time may use them.
//
// A receiver that doesn't check fencing tokens accepts a request of an earlier holder as
// readily as one of the current holder. So a holder sends no request that it has not
// recorded here, and the write of the record fails once another process holds the lease. A
// successor loads the record and repeats the open requests under the same names. Whichever
// request arrives first has the effect that the successor expects; the receiver treats the
// others as repetitions, which have no effect.
type Intents[D Duty, T any] struct {
	lease          *Lease
	maxRecordBytes int
	// revision is that of the record as last read or written; 0 if there is no record.
	revision Revision
	loaded   bool
	recorded []T // the open intents as last read or written
}

// NewIntents returns the intents of a duty for the holder of a lease. maxRecordBytes is the
// largest size of a value that the store accepts.
func NewIntents[D Duty, T any](l *Lease, maxRecordBytes int) *Intents[D, T] {
	return &Intents[D, T]{lease: l, maxRecordBytes: maxRecordBytes}
}

func (i *Intents[D, T]) key() string { return IntentKey(nameOf[D]()) }

// Load reads the stored record, usually one that an earlier holder wrote. It returns the
// zero record if there is none. Nothing can be recorded before Load has succeeded. A record
// that can't be decoded yields an error that is ErrUndecodable; after any other error Load
// may be retried.
func (i *Intents[D, T]) Load(ctx context.Context) (IntentRecord[T], error) {
	var record IntentRecord[T]
	entry, err := i.lease.candidate.Store.Get(ctx, store.ClassCritical, i.key())
	switch {
	case errors.Is(err, ErrNotFound):
	case err != nil:
		return record, fmt.Errorf("load the intents %q: %w", i.key(), err)
	default:
		if err := wire.Decode(entry.Value, &record); err != nil {
			i.lease.candidate.notifyUndecodable(i.key(), err)
			return record, &UndecodableError{Key: i.key(), Err: err}
		}
	}
	i.revision, i.loaded, i.recorded = entry.Revision, true, record.Open
	return record, nil
}

// Loaded reports whether Load has succeeded.
func (i *Intents[D, T]) Loaded() bool { return i.loaded }

// OpenIntents returns the open intents as last loaded or recorded.
func (i *Intents[D, T]) OpenIntents() []T { return i.recorded }

// Fits reports whether these open intents fit in one record.
func (i *Intents[D, T]) Fits(open []T) bool {
	return wire.MaxJSONSize(i.newRecord(open)) <= i.maxRecordBytes
}

func (i *Intents[D, T]) newRecord(open []T) IntentRecord[T] {
	return IntentRecord[T]{Token: i.lease.Token(), At: wire.TimestampOf(i.lease.clock().Now()), Open: open}
}

// Record replaces the record by these open intents. They may be carried out only once
// Record has returned nil. It retries while the outcome is unknown, as long as the lease is
// certainly held. After ErrRefused it may be called again.
func (i *Intents[D, T]) Record(ctx context.Context, open []T) error {
	if !i.loaded {
		return fmt.Errorf("%w to record intents: the record %q has not been loaded", ErrNoPermit, i.key())
	}
	if !i.Fits(open) {
		return fmt.Errorf("%w: %d intents under %q exceed %d bytes", ErrIntentsTooLarge, len(open), i.key(), i.maxRecordBytes)
	}
	for {
		done, err := i.tryRecord(ctx, open)
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.lease.clock().After(intentRetryDelay):
		}
	}
}

// tryRecord makes one attempt to write the record. It returns false and no error if the
// caller has to retry.
func (i *Intents[D, T]) tryRecord(ctx context.Context, open []T) (bool, error) {
	permit, err := PermitFor[D](i.lease)
	if err != nil {
		return false, err
	}
	// The record's own revision is a guard too, so that an earlier attempt that the store
	// executes late doesn't overwrite a newer record.
	revision, err := permit.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: i.key(), Revision: i.revision}},
		Writes: []Write{{PutKey: i.key(), Value: wire.Encode(i.newRecord(open))}},
	})
	var conflict *ConflictError
	switch {
	case err == nil:
		i.revision, i.recorded = revision, open
		i.lease.emit(IntentsRecorded, permit.Name(), fmt.Sprint(len(open), " open"))
		return true, nil
	case errors.As(err, &conflict):
		return false, i.resolveConflict(ctx, conflict)
	case errors.Is(err, ErrOutcomeUnknown):
		return false, nil
	}
	return false, err
}

// resolveConflict finds out why a guard failed. It returns nil if the caller has to retry
// the write.
func (i *Intents[D, T]) resolveConflict(ctx context.Context, conflict *ConflictError) error {
	// The lease's key may have a new revision only because this holder raised its token.
	if conflict.HasKey(i.lease.candidate.Key) && !i.mayHoldLease(ctx) {
		return i.lease.leaseError(ErrHeldByOther)
	}
	if conflict.HasKey(i.key()) {
		// An earlier attempt of this holder was executed, since no other process can write
		// the record while this one holds the lease.
		entry, err := i.lease.candidate.Store.Get(ctx, store.ClassCritical, i.key())
		if err == nil || errors.Is(err, ErrNotFound) {
			i.revision = entry.Revision
		}
	}
	return nil
}

// mayHoldLease reads the lease's key and reports whether this process may still hold the
// lease: the key holds this process's record, bound to the lease's grant, or can't be read.
func (i *Intents[D, T]) mayHoldLease(ctx context.Context) bool {
	candidate := i.lease.candidate
	entry, err := candidate.Store.Get(ctx, store.ClassCritical, candidate.Key)
	if errors.Is(err, ErrNotFound) {
		return false
	}
	return err != nil || candidate.isOwnRecord(entry, i.lease.acquisition.Grant)
}
