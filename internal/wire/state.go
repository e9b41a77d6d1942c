package wire

import "github.com/fxamacker/cbor/v2"

// RawValue is a value of the key-value store, not yet decoded.
type RawValue = cbor.RawMessage

// Entry is a key of the key-value store with its value.
type Entry struct {
	Key      string   `cbor:"k"`
	Value    RawValue `cbor:"v"`
	Revision Revision `cbor:"stamp"`
	Grant    GrantID  `cbor:"permit,omitempty"`
}

// EntryPage is one page of a list of keys. Truncated says that there are more pages. Revision
// is the revision of the whole store; the Revision of an Entry is that of its key.
type EntryPage struct {
	Entries   []Entry  `cbor:"entries"`
	Truncated bool     `cbor:"truncated"`
	Revision  Revision `cbor:"ledger"`
}

// Guard is a condition of a transaction: the key must be at the revision. Revision 0 means
// that the key must not exist.
type Guard struct {
	Key      string   `cbor:"k"`
	Revision Revision `cbor:"stamp"`
}

// Write is one change of a transaction: a value is put under a key, or a key is deleted.
type Write struct {
	PutKey    string   `cbor:"put,omitempty"`
	Value     RawValue `cbor:"v,omitempty"`
	Grant     GrantID  `cbor:"permit,omitempty"`
	DeleteKey string   `cbor:"drop,omitempty"`
}

// Txn is a transaction, a compare-and-swap of several keys: if all guards hold, all writes
// are executed, otherwise none.
type Txn struct {
	Guards []Guard `cbor:"guards"`
	Writes []Write `cbor:"writes"`
}

// TxnResponse is the response to a Txn: the revision of its writes, or the keys whose guards
// failed.
type TxnResponse struct {
	Revision   Revision `cbor:"ledger"`
	FailedKeys []string `cbor:"failed,omitempty"`
}

// GrantRequest asks for a lease of the key-value store.
type GrantRequest struct {
	TTLMillis int64 `cbor:"lifeMs"`
}

// GrantResponse is the response to a GrantRequest.
type GrantResponse struct {
	Grant GrantID `cbor:"permit"`
}

// WatchEvent is one event of a watch: a key was put or deleted.
type WatchEvent struct {
	PutKey     string   `cbor:"put,omitempty"`
	DeletedKey string   `cbor:"drop,omitempty"`
	Value      RawValue `cbor:"v,omitempty"`
	Revision   Revision `cbor:"stamp"`
}

// WatchResponse is the response to a watch: the revision of the store, and the events in any
// order.
type WatchResponse struct {
	Revision Revision     `cbor:"ledger"`
	Events   []WatchEvent `cbor:"news"`
}
