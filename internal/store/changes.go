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

// Watch waits for changes under a prefix after a revision, for up to block.
func (c *Client) Watch(ctx context.Context, prefix string, after wire.Revision, block time.Duration) (wire.WatchResponse, error) {
	return c.changes(ctx, request{
		op:      opWatch,
		key:     prefix,
		class:   ClassCritical,
		method:  http.MethodGet,
		path:    changesPath(prefix, after, block),
		timeout: block + watchMargin,
		blocks:  true,
	})
}

// changesForUser reads the changes under a prefix after a revision, without waiting for
// any.
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

func changesPath(prefix string, after wire.Revision, block time.Duration) string {
	return fmt.Sprintf("/changes?under=%s&after=%d&blockMs=%d", url.QueryEscape(prefix), after, block.Milliseconds())
}

// changes makes a request for changes and returns them by their revisions.
func (c *Client) changes(ctx context.Context, req request) (wire.WatchResponse, error) {
	var changes wire.WatchResponse
	req.result = &changes
	status, err := c.call(ctx, req)
	if err == nil && status != http.StatusOK {
		err = req.unexpected(status)
	}
	if errors.Is(err, ErrResponseTooLarge) {
		// The same request would be answered with as much again, for ever; reading
		// the keys anew goes page by page.
		err = req.failed(ErrCompacted)
	}
	// The service promises no order; the newest value of a key must come last.
	slices.SortStableFunc(changes.Events, func(a, b wire.WatchEvent) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, err
}
