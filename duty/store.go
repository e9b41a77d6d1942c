package duty

import (
	"context"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The types of the key-value store, as its protocol defines them.
type (
	// FencingToken orders the holders of a lease: only the one with the highest token may
	// act. It is the revision of the lease's key.
	FencingToken = wire.FencingToken
	// Revision is the number of the change that last wrote a key; 0 means that the key does
	// not exist.
	Revision = wire.Revision
	// GrantID identifies a grant. When a grant expires or is revoked, the store deletes the
	// keys bound to it.
	GrantID = wire.GrantID
	// NodeID is the name of a node.
	NodeID = wire.NodeID
	// Entry is a key with its value, revision and grant.
	Entry = wire.Entry
	// Guard is a condition of a transaction: the revision that a key must have.
	Guard = wire.Guard
	// Write is a change that a transaction makes to one key. Its value must be one
	// well-formed CBOR item; otherwise the store's client panics.
	Write = wire.Write
	// Txn is a compare-and-swap transaction: it makes all its writes if all its guards
	// hold, and none otherwise.
	Txn = wire.Txn
	// RequestClass determines whether a request to the store is sent, waits or is refused
	// while the client's rate budget is used up.
	RequestClass = store.RequestClass
	// ConflictError lists the keys whose guards failed; nothing was written.
	ConflictError = store.ConflictError
)

// Store is the part of the key-value store that the package uses. An implementation
// returns ErrRefused for a request that was certainly not executed, and ErrOutcomeUnknown
// for a change that may have been executed or may still be.
type Store interface {
	// CreateGrant creates a grant that expires ttl after its last renewal.
	CreateGrant(ctx context.Context, ttl time.Duration) (GrantID, error)
	// RenewGrant renews a grant, or returns ErrNotFound if it has expired.
	RenewGrant(ctx context.Context, grant GrantID, timeout time.Duration) error
	// RevokeGrant revokes a grant and deletes the keys bound to it.
	RevokeGrant(ctx context.Context, grant GrantID) error
	// Get reads a key, or returns ErrNotFound.
	Get(ctx context.Context, class RequestClass, key string) (Entry, error)
	// Commit executes a transaction and returns its revision, or a *ConflictError.
	Commit(ctx context.Context, class RequestClass, txn Txn) (Revision, error)
}
