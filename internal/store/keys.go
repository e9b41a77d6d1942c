package store

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strconv"

	"lilaclead/internal/wire"
)

// pageSize is the largest number of keys in a page of a list.
const pageSize = 500

// Get reads one key.
func (c *Client) Get(ctx context.Context, class RequestClass, key string) (wire.Entry, error) {
	var entry wire.Entry
	req := request{
		op:      opGet,
		key:     key,
		class:   class,
		method:  http.MethodGet,
		path:    "/kv/" + key,
		result:  &entry,
		timeout: requestTimeout,
	}
	status, err := c.call(ctx, req)
	if err != nil {
		return entry, err
	}
	if status != http.StatusOK {
		return wire.Entry{}, req.errorFor(ErrNotFound)
	}
	return entry, nil
}

// List reads all keys with a prefix, page by page. The revision is that of the first
// page: a watch from there misses no change that is made while later pages are read.
func (c *Client) List(ctx context.Context, class RequestClass, prefix string) ([]wire.Entry, wire.Revision, error) {
	var entries []wire.Entry
	var firstRevision wire.Revision
	lastKey := ""
	for {
		page, err := c.listPage(ctx, class, prefix, lastKey)
		if err != nil {
			return nil, 0, err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.Truncated || len(page.Entries) == 0 {
			return entries, firstRevision, nil
		}
		lastKey = page.Entries[len(page.Entries)-1].Key
	}
}

// listPage reads one page of the keys with a prefix: those that follow the key after, or the
// first page if that is empty.
func (c *Client) listPage(ctx context.Context, class RequestClass, prefix, after string) (wire.EntryPage, error) {
	path := "/kv?under=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(pageSize)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	var page wire.EntryPage
	req := request{
		op:      opList,
		key:     prefix,
		class:   class,
		method:  http.MethodGet,
		path:    path,
		result:  &page,
		timeout: listTimeout,
	}
	status, err := c.call(ctx, req)
	if err != nil {
		return wire.EntryPage{}, err
	}
	if status != http.StatusOK {
		return wire.EntryPage{}, req.errorForStatus(status)
	}
	return page, nil
}

// Commit executes a transaction, a compare-and-swap of several keys, and returns its
// revision. The error is a ConflictError if guards failed.
func (c *Client) Commit(ctx context.Context, class RequestClass, txn wire.Txn) (wire.Revision, error) {
	// Nil slices would be encoded as null, not as empty arrays.
	if txn.Guards == nil {
		txn.Guards = []wire.Guard{}
	}
	if txn.Writes == nil {
		txn.Writes = []wire.Write{}
	}
	var result wire.TxnResponse
	req := request{
		op:      opCommit,
		key:     describeKeys(txn),
		class:   class,
		writes:  len(txn.Writes),
		method:  http.MethodPost,
		path:    "/txn",
		body:    txn,
		result:  &result,
		timeout: requestTimeout,
	}
	status, err := c.call(ctx, req)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK && result.Revision > 0:
		return result.Revision, nil
	case status == http.StatusConflict:
		return result.Revision, &ConflictError{FailedKeys: result.FailedKeys}
	default:
		return 0, req.errorForStatus(status)
	}
}

// describeKeys returns the first key that a transaction writes, or that it guards if it
// writes none, and the number of further ones.
func describeKeys(txn wire.Txn) string {
	var key string
	var others int
	switch {
	case len(txn.Writes) > 0:
		key, others = cmp.Or(txn.Writes[0].PutKey, txn.Writes[0].DeleteKey), len(txn.Writes)-1
	case len(txn.Guards) > 0:
		key, others = txn.Guards[0].Key, len(txn.Guards)-1
	}
	if others > 0 {
		return key + " and " + strconv.Itoa(others) + " more"
	}
	return key
}
