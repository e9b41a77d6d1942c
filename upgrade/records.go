package upgrade

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Keys of the records.
const (
	KeyPrefix     = "version/"
	ActiveKey     = KeyPrefix + "active"
	supportPrefix = KeyPrefix + "support/"
)

// SupportKey returns the key under which a controller publishes what it supports.
func SupportKey(node duty.NodeID) string { return supportPrefix + string(node) }

// ActiveRecord is the stored form of the active version.
type ActiveRecord struct {
	Version Version        `cbor:"version"`
	By      duty.NodeID    `cbor:"by"`
	At      wire.Timestamp `cbor:"at"`
}

// SupportRecord is the stored form of what one process of a controller supports.
type SupportRecord struct {
	Min         Version        `cbor:"min"`
	Max         Version        `cbor:"max"`
	Incarnation string         `cbor:"process"`
	At          wire.Timestamp `cbor:"at"`
}

// Range returns the published range.
func (s SupportRecord) Range() Range { return Range{s.Min, s.Max} }

// Store is the part of the key-value store that the package uses.
type Store interface {
	duty.Store
	// List reads all keys with a prefix, and the store's revision.
	List(ctx context.Context, class duty.RequestClass, prefix string) ([]duty.Entry, duty.Revision, error)
}

// records are those of a deployment as they were read.
type records struct {
	active         ActiveRecord
	activeRevision duty.Revision // 0: none recorded
	supports       map[duty.NodeID]publishedSupport
	// undecodable keys; what rests on them is refused.
	undecodable []string
}

// publishedSupport is a controller's record with its revision. An undecodable record has
// the zero value.
type publishedSupport struct {
	record   SupportRecord
	revision duty.Revision
}

// readRecords reads all records.
func readRecords(ctx context.Context, s Store, class duty.RequestClass) (records, error) {
	entries, _, err := s.List(ctx, class, KeyPrefix)
	if err != nil {
		return records{}, fmt.Errorf("read the records under %q: %w", KeyPrefix, err)
	}
	r := records{active: ActiveRecord{Version: BaseVersion}, supports: map[duty.NodeID]publishedSupport{}}
	for _, e := range entries {
		r.add(e)
	}
	return r, nil
}

// readDecidableRecords reads all records, and fails if the active version can't be decoded.
func readDecidableRecords(ctx context.Context, s Store, class duty.RequestClass) (records, error) {
	r, err := readRecords(ctx, s, class)
	if err == nil && r.isUndecodable(ActiveKey) {
		err = &UndecodableError{Key: ActiveKey}
	}
	return r, err
}

// add decodes one entry. A key that is neither kind of record belongs to a later version
// and is ignored.
func (r *records) add(e duty.Entry) {
	decoded := true
	if e.Key == ActiveKey {
		r.activeRevision = e.Revision
		decoded = r.decodeActive(e)
	} else if node, isSupport := strings.CutPrefix(e.Key, supportPrefix); isSupport {
		decoded = r.decodeSupport(duty.NodeID(node), e)
	}
	if !decoded {
		r.undecodable = append(r.undecodable, e.Key)
	}
}

// decodeActive decodes the active version and reports whether it could.
func (r *records) decodeActive(e duty.Entry) bool {
	var active ActiveRecord
	if wire.Decode(e.Value, &active) != nil || active.Version < BaseVersion {
		return false
	}
	r.active = active
	return true
}

// decodeSupport decodes a controller's record and reports whether it could. The revision
// of an undecodable one is kept for guards.
func (r *records) decodeSupport(node duty.NodeID, e duty.Entry) bool {
	support := publishedSupport{revision: e.Revision}
	valid := wire.Decode(e.Value, &support.record) == nil && support.record.Range().Validate() == nil
	if !valid {
		support.record = SupportRecord{}
	}
	r.supports[node] = support
	return valid
}

// isUndecodable reports whether the record under a key can't be decoded.
func (r *records) isUndecodable(key string) bool { return slices.Contains(r.undecodable, key) }

// readActive reads the active version alone.
func readActive(ctx context.Context, s Store) (ActiveRecord, duty.Revision, error) {
	e, err := s.Get(ctx, store.ClassCritical, ActiveKey)
	if errors.Is(err, duty.ErrNotFound) {
		return ActiveRecord{Version: BaseVersion}, 0, nil
	}
	if err != nil {
		return ActiveRecord{}, 0, fmt.Errorf("read the active version %q: %w", ActiveKey, err)
	}
	var r records
	if !r.decodeActive(e) {
		return ActiveRecord{}, e.Revision, &UndecodableError{Key: ActiveKey}
	}
	return r.active, e.Revision, nil
}
