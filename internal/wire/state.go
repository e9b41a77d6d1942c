package wire

import "github.com/fxamacker/cbor/v2"

// Raw is a value of the state service, not yet decoded.
type Raw = cbor.RawMessage

// Entry is a key of the state service with its value.
type Entry struct {
	Key      string   `cbor:"k"`
	Value    Raw      `cbor:"v"`
	Revision Revision `cbor:"stamp"`
	Grant    GrantID  `cbor:"permit,omitempty"`
}

// EntryPage is one page of keys.
type EntryPage struct {
	Entries   []Entry  `cbor:"entries"`
	Truncated bool     `cbor:"truncated"`
	Revision  Revision `cbor:"ledger"`
}

// Guard is a condition of a transaction; stamp 0: the key must not exist.
type Guard struct {
	Key      string   `cbor:"k"`
	Revision Revision `cbor:"stamp"`
}

// Write is one change of a transaction.
type Write struct {
	Put    string  `cbor:"put,omitempty"`
	Value  Raw     `cbor:"v,omitempty"`
	Grant  GrantID `cbor:"permit,omitempty"`
	Delete string  `cbor:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Guards []Guard `cbor:"guards"`
	Writes []Write `cbor:"writes"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision Revision `cbor:"ledger"`
	Failed   []string `cbor:"failed,omitempty"`
}

// GrantRequest asks for a lease of the state service.
type GrantRequest struct {
	TTLMillis int64 `cbor:"lifeMs"`
}

// GrantResult answers it.
type GrantResult struct {
	Grant GrantID `cbor:"permit"`
}

// Change is one event of a watch.
type Change struct {
	Put      string   `cbor:"put,omitempty"`
	Delete   string   `cbor:"drop,omitempty"`
	Value    Raw      `cbor:"v,omitempty"`
	Revision Revision `cbor:"stamp"`
}

// Changes answers a watch.
type Changes struct {
	Revision Revision `cbor:"ledger"`
	Events   []Change `cbor:"news"`
}
