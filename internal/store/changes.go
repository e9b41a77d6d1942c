package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Watch waits up to maxWait for changes after a revision to keys with the prefix, and
// returns them sorted by revision.
func (c *Client) Watch(ctx context.Context, prefix string, after wire.Revision, maxWait time.Duration) (wire.WatchResponse, error) {
	return c.changes(ctx, request{
		op:      opWatch,
		key:     prefix,
		class:   ClassCritical,
		method:  http.MethodGet,
		path:    changesPath(prefix, after, maxWait),
		timeout: maxWait + watchMargin,
		blocks:  true,
	})
}

// changesForUser returns the changes after a revision to keys with the prefix, without
// waiting for any.
func (c *Client) changesForUser(ctx context.Context, prefix string, after wire.Revision, timeout time.Duration) (wire.WatchResponse, error) {
	return c.changes(ctx, request{
		op:      opWatch,
		key:     prefix,
		class:   ClassUser,
		method:  http.MethodGet,
		path:    changesPath(prefix, after, 0),
		timeout: timeout,
	})
}

func changesPath(prefix string, after wire.Revision, maxWait time.Duration) string {
	return fmt.Sprintf("/changes?under=%s&after=%d&blockMs=%d", url.QueryEscape(prefix), after, maxWait.Milliseconds())
}

// changes sends a request for changes and returns them sorted by revision.
func (c *Client) changes(ctx context.Context, req request) (wire.WatchResponse, error) {
	var changes wire.WatchResponse
	req.result = &changes
	status, err := c.call(ctx, req)
	if err == nil && status != http.StatusOK {
		err = req.errorForStatus(status)
	}
	if errors.Is(err, ErrResponseTooLarge) {
		// A retry would only get the same oversized response. ErrCompacted makes the
		// caller list the keys instead, which is done page by page.
		err = req.errorFor(ErrCompacted)
	}
	// The store guarantees no order, but the newest change of a key must come last.
	slices.SortStableFunc(changes.Events, func(a, b wire.WatchEvent) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, err
}
