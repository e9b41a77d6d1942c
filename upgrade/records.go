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

// Keys of the records of versions, all of which begin with KeyPrefix.
const (
	KeyPrefix     = "version/"
	ActiveKey     = KeyPrefix + "active"
	supportPrefix = KeyPrefix + "support/"
)

// SupportKey returns the key under which a controller publishes what it supports.
func SupportKey(node duty.NodeID) string { return supportPrefix + string(node) }

// ActiveRecord is the stored form of the active version. By is the controller that switched
// to it.
type ActiveRecord struct {
	Version Version        `cbor:"version"`
	By      duty.NodeID    `cbor:"by"`
	At      wire.Timestamp `cbor:"at"`
}

// SupportRecord is the stored form of the versions that one process of a controller
// supports.
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
	// List returns the entries of all keys with a prefix, and the store's revision.
	List(ctx context.Context, class duty.RequestClass, prefix string) ([]duty.Entry, duty.Revision, error)
}

// records holds the records of versions of a deployment, as they were read.
type records struct {
	active         ActiveRecord
	activeRevision duty.Revision // 0: none recorded
	supports       map[duty.NodeID]publishedSupport
	// undecodable holds the keys of the records that can't be decoded. Decisions that depend
	// on one of them are refused.
	undecodable []string
}

// publishedSupport is a controller's record with its revision. The record is zero if it
// can't be decoded.
type publishedSupport struct {
	record   SupportRecord
	revision duty.Revision
}

func readRecords(ctx context.Context, s Store, class duty.RequestClass) (records, error) {
	entries, _, err := s.List(ctx, class, KeyPrefix)
	if err != nil {
		return records{}, fmt.Errorf("read the records under %q: %w", KeyPrefix, err)
	}
	r := records{active: ActiveRecord{Version: BaseVersion}, supports: map[duty.NodeID]publishedSupport{}}
	for _, entry := range entries {
		r.decodeEntry(entry)
	}
	return r, nil
}

// readRecordsWithActive reads all records, and fails if the active version can't be decoded.
func readRecordsWithActive(ctx context.Context, s Store, class duty.RequestClass) (records, error) {
	r, err := readRecords(ctx, s, class)
	if err == nil && r.isUndecodable(ActiveKey) {
		err = &UndecodableError{Key: ActiveKey}
	}
	return r, err
}

// decodeEntry adds one entry of the store to the records. An entry that is neither kind of
// record belongs to a later version and is ignored.
func (r *records) decodeEntry(e duty.Entry) {
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

// decodeActive decodes the active version and reports whether that succeeded.
func (r *records) decodeActive(e duty.Entry) bool {
	var active ActiveRecord
	if wire.Decode(e.Value, &active) != nil || active.Version < BaseVersion {
		return false
	}
	r.active = active
	return true
}

// decodeSupport decodes a controller's record and reports whether that succeeded. The
// revision is kept even if the record can't be decoded, since guards need it.
func (r *records) decodeSupport(node duty.NodeID, e duty.Entry) bool {
	support := publishedSupport{revision: e.Revision}
	valid := wire.Decode(e.Value, &support.record) == nil && support.record.Range().Validate() == nil
	if !valid {
		support.record = SupportRecord{}
	}
	r.supports[node] = support
	return valid
}

func (r *records) isUndecodable(key string) bool { return slices.Contains(r.undecodable, key) }

// readActive reads only the active version, which is BaseVersion if none is recorded.
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
