// Package store is the client of the state service and the layout of what is
// kept there. Client makes requests within the rate budgets and tells what is
// known of a transaction afterwards; JobCache is a node's copy of the live jobs;
// the records and their keys are in records.go and chunks.go.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// What a call can come to, other than its result.
var (
	// ErrMissing: the key or grant does not exist.
	ErrMissing = errors.New("state: no such key or grant")
	// ErrRefused: certainly not executed (429, 503, connection refused, or no
	// room in our own budget).
	ErrRefused = errors.New("state: refused")
	// ErrBusy: refused for the rate alone; worth another try in a moment.
	ErrBusy = fmt.Errorf("%w: over the rate", ErrRefused)
	// ErrUnknown: no usable answer; a change may have been executed, or may
	// still be.
	ErrUnknown = errors.New("state: outcome unknown")
	// ErrTooOld: the watch asks for changes that are no longer kept.
	ErrTooOld = errors.New("state: revision too old")
	// ErrTooLarge: the answer is larger than this client takes.
	ErrTooLarge = errors.New("state: answer too large")
	// ErrInvalid: the service calls the request malformed.
	ErrInvalid = errors.New("state: request refused as invalid")
)

// ConflictError lists the guards that failed.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string { return "state: guards failed: " + strings.Join(e.Failed, ",") }

// Has tells whether the guard on the key failed.
func (e *ConflictError) Has(key string) bool {
	for _, k := range e.Failed {
		if k == key {
			return true
		}
	}
	return false
}

// RequestClass says whether a request waits for the rate budget.
type RequestClass int

// The classes.
const (
	// Critical requests (renewals, elections, launches) never wait for the
	// budget, but are counted in it, into debt: background requests wait then.
	Critical RequestClass = iota
	// Background requests (progress, recovery, settings) wait for the budget.
	Background
	// User requests are refused at once when the budget is used up.
	User
)

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	watches *http.Client
	calls   *rate.Limiter
	writes  *rate.Limiter // by the node itself
	users   *rate.Limiter // changes that users ask for

	// lastSuccess is the monotonic time of the last answer that shows the service
	// serves us, in nanoseconds since started.
	lastSuccess atomic.Int64
	lastRefusal atomic.Int64
	started     time.Time
	// Observe is told of every call, for the metrics.
	Observe func(op string, outcome string, took time.Duration)
}

const (
	// callTimeout bounds one request; a user waits two seconds in all.
	callTimeout = 1500 * time.Millisecond
	// watchMargin is what an answer may take beyond the time that a watch blocks.
	watchMargin = 3 * time.Second
	// outageAfter is how long the service must have answered nothing before users
	// are refused without a try.
	outageAfter = 2 * time.Second
	// nodeShare is the part of the deployment's budgets that one node uses.
	nodeShare = 0.6
	// minRate (a second) keeps a node working under the lowest limits.
	minRate = 2
	// callConnections and watchConnections bound the connections to the service;
	// the socket budget counts with their sum.
	callConnections  = 12
	watchConnections = 4
	// pageSize is the number of keys asked for at a time.
	pageSize = 500
	// maxAnswer bounds an answer, in bytes: a page of the largest values.
	maxAnswer = 8 << 20
)

// New makes a client. The budgets are the whole deployment's; a node takes
// the larger half of what is left if the others take little, since mostly
// one node leads and writes.
func New(addr string, s config.State, size int, nw netio.Net) *Client {
	share := func(total float64) float64 { return max(minRate, total*nodeShare) }
	if size == 1 {
		share = func(total float64) float64 { return total }
	}
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: nw.Transport(callConnections, callConnections)},
		watches: &http.Client{Transport: nw.Transport(watchConnections, watchConnections)},
		calls:   rate.NewLimiter(rate.Limit(share(s.RPS)), int(share(s.RPS))),
		writes:  rate.NewLimiter(rate.Limit(share(s.WriteRPS)), int(share(s.WriteRPS))),
		users:   rate.NewLimiter(rate.Limit(share(s.WriteRPS)), int(share(s.WriteRPS))),
		started: time.Now(),
		Observe: func(string, string, time.Duration) {},
	}
}

// Budget is what is left of the budgets for requests and for changes.
func (c *Client) Budget() (calls, writes float64) { return c.calls.Tokens(), c.writes.Tokens() }

// Reachable tells whether the service has served this node lately: its last
// good answer is newer than its last refusal.
func (c *Client) Reachable() bool { return c.lastSuccess.Load() >= c.lastRefusal.Load() }

func (c *Client) admit(ctx context.Context, class RequestClass, writes int) error {
	switch class {
	case Critical:
		charge(c.calls, 1)
		charge(c.writes, writes)
	case Background:
		if err := c.calls.Wait(ctx); err != nil {
			return ErrRefused
		}
		if writes > 0 {
			if err := c.writes.WaitN(ctx, min(writes, c.writes.Burst())); err != nil {
				return ErrRefused
			}
		}
	case User:
		// A user isn't kept waiting for a service that has answered nothing
		// for a while; the election's own polls find out when it is back.
		if !c.Reachable() && time.Since(c.started)-time.Duration(c.lastSuccess.Load()) > outageAfter {
			return ErrRefused
		}
		// A leader's own calls must not shut out the users that come
		// to the same node: changes have a budget of their own, and reads of
		// users are few, since polls share them.
		if writes == 0 && !c.calls.Allow() || writes > 0 && !c.users.AllowN(time.Now(), min(writes, c.users.Burst())) {
			return ErrBusy
		}
	}
	return nil
}

// charge counts what is done anyway, into a debt of one burst at most.
func charge(l *rate.Limiter, n int) {
	if n = min(n, l.Burst()); n > 0 && l.Tokens() > -float64(l.Burst()) {
		l.ReserveN(time.Now(), n)
	}
}

func (c *Client) do(ctx context.Context, hc *http.Client, op, method, path string, body any, out any, timeout time.Duration) (status int, err error) {
	begin := time.Now()
	outcome := "ok"
	defer func() {
		if err != nil {
			outcome = err.Error()
		} else if status >= 400 {
			outcome = strconv.Itoa(status)
		}
		c.Observe(op, outcome, time.Since(begin))
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var raw []byte
	status, raw, _, err = netio.Call(ctx, hc, method, c.base+path, body, maxAnswer)
	if errors.Is(err, wire.ErrTooLarge) {
		return 0, ErrTooLarge
	}
	if err != nil {
		c.lastRefusal.Store(int64(time.Since(c.started)))
		if wire.NotSent(err) {
			return 0, ErrRefused
		}
		return 0, ErrUnknown
	}
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		c.lastSuccess.Store(int64(time.Since(c.started)))
		if out != nil && len(raw) > 0 {
			if err := wire.Decode(raw, out); err != nil {
				return 0, fmt.Errorf("%w: bad answer: %w", ErrUnknown, err)
			}
		}
		return status, nil
	case http.StatusTooManyRequests:
		return status, ErrBusy
	case http.StatusServiceUnavailable:
		c.lastRefusal.Store(int64(time.Since(c.started)))
		return status, ErrRefused
	case http.StatusGone:
		return status, ErrTooOld
	case http.StatusBadRequest:
		return status, ErrInvalid
	default:
		return status, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, class RequestClass, key string) (wire.Entry, error) {
	var e wire.Entry
	if err := c.admit(ctx, class, 0); err != nil {
		return e, err
	}
	status, err := c.do(ctx, c.http, "get", "GET", "/kv/"+key, nil, &e, callTimeout)
	if err != nil {
		return e, err
	}
	if status != http.StatusOK {
		return wire.Entry{}, ErrMissing
	}
	return e, nil
}

// List reads all keys with a prefix, page by page.
func (c *Client) List(ctx context.Context, class RequestClass, prefix string) ([]wire.Entry, wire.Revision, error) {
	var all []wire.Entry
	var first wire.Revision
	after := ""
	for {
		if err := c.admit(ctx, class, 0); err != nil {
			return nil, 0, err
		}
		q := "/kv?under=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(pageSize)
		if after != "" {
			q += "&after=" + url.QueryEscape(after)
		}
		var page wire.EntryPage
		status, err := c.do(ctx, c.http, "list", "GET", q, nil, &page, 2*callTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusOK {
			return nil, 0, fmt.Errorf("%w: status %d", ErrUnknown, status)
		}
		if first == 0 {
			// A watch from the revision of the first page misses nothing
			// that a later page was read before.
			first = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.Truncated || len(page.Entries) == 0 {
			return all, first, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// Commit executes a transaction and returns its revision.
func (c *Client) Commit(ctx context.Context, class RequestClass, txn wire.Txn) (wire.Revision, error) {
	if txn.Guards == nil {
		txn.Guards = []wire.Guard{}
	}
	if txn.Writes == nil {
		txn.Writes = []wire.Write{}
	}
	if err := c.admit(ctx, class, len(txn.Writes)); err != nil {
		return 0, err
	}
	var res wire.TxnResult
	status, err := c.do(ctx, c.http, "txn", "POST", "/txn", txn, &res, callTimeout)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK && res.Revision > 0:
		return res.Revision, nil
	case status == http.StatusConflict:
		return res.Revision, &ConflictError{Failed: res.Failed}
	default:
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (wire.GrantID, error) {
	if err := c.admit(ctx, Critical, 0); err != nil {
		return 0, err
	}
	var res wire.GrantResult
	status, err := c.do(ctx, c.http, "grant", "POST", "/grants", wire.GrantRequest{TTLMillis: ttl.Milliseconds()}, &res, callTimeout)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return res.Grant, nil
}

// Renew gives a lease its full time again.
func (c *Client) Renew(ctx context.Context, id wire.GrantID, timeout time.Duration) error {
	if err := c.admit(ctx, Critical, 0); err != nil {
		return err
	}
	status, err := c.do(ctx, c.http, "renew", "POST", fmt.Sprintf("/grants/%d/renew", id), map[string]any{}, nil, timeout)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return ErrMissing
	}
	return nil
}

// EndGrant gives a lease back.
func (c *Client) EndGrant(ctx context.Context, id wire.GrantID) error {
	_, err := c.do(ctx, c.http, "end", "DELETE", fmt.Sprintf("/grants/%d", id), nil, nil, callTimeout)
	return err
}

// Watch waits for changes under a prefix after a revision, for up to block.
func (c *Client) Watch(ctx context.Context, prefix string, after wire.Revision, block time.Duration) (wire.Changes, error) {
	return c.changes(ctx, Critical, c.watches, prefix, after, block, block+watchMargin)
}

func (c *Client) changes(ctx context.Context, class RequestClass, hc *http.Client, prefix string, after wire.Revision, block, timeout time.Duration) (wire.Changes, error) {
	var res wire.Changes
	if err := c.admit(ctx, class, 0); err != nil {
		return res, err
	}
	q := fmt.Sprintf("/changes?under=%s&after=%d&blockMs=%d", url.QueryEscape(prefix), after, block.Milliseconds())
	status, err := c.do(ctx, hc, "watch", "GET", q, nil, &res, timeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	if errors.Is(err, ErrTooLarge) {
		// The same question would get as much again, for ever; reading the keys anew
		// goes page by page.
		err = ErrTooOld
	}
	// The service promises no order; the newest value of a key must come last.
	slices.SortStableFunc(res.Events, func(a, b wire.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return res, err
}
