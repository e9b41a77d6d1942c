package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// The operations, by the names that metrics and errors have for them.
const (
	opGet    = "get"
	opList   = "list"
	opCommit = "txn"
	opGrant  = "grant"
	opRenew  = "renew"
	opRevoke = "end"
	opWatch  = "watch"
)

type request struct {
	op     string
	key    string // its object, for errors: see OpError.Key
	class  RequestClass
	writes int // number of keys that it changes

	method  string
	path    string
	body    any // nil: none
	result  any // the response is decoded into it; nil: the response is dropped
	timeout time.Duration
	blocks  bool // the store may wait for changes first; uses the watch connections
}

// errorFor returns the error of the request for a cause.
func (r *request) errorFor(cause error) error { return &OpError{Op: r.op, Key: r.key, Err: cause} }

// errorForStatus returns the error of the request for a response whose status has no meaning
// for it.
func (r *request) errorForStatus(status int) error { return r.errorFor(unexpectedStatus(status)) }

func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// admit charges the request to the budget. If the budget is used up, the request waits, is
// refused or is charged anyway, depending on its class.
func (c *Client) admit(ctx context.Context, req *request) error {
	switch req.class {
	case ClassCritical:
		c.budget.charge(req.writes)
	case ClassBackground:
		if c.budget.wait(ctx, req.writes) != nil {
			return req.errorFor(ErrRefused)
		}
	case ClassUser:
		// A user isn't kept waiting during an outage of the store. The polls of the
		// leader election detect when the store is back.
		if c.inOutage() {
			return req.errorFor(ErrRefused)
		}
		if !c.budget.allowUser(req.writes) {
			return req.errorFor(ErrRateLimited)
		}
	}
	return nil
}

// call sends a request once the budget admits it. Without an error the status is 200,
// 404 or 409.
func (c *Client) call(ctx context.Context, req request) (status int, err error) {
	if err := c.admit(ctx, &req); err != nil {
		return 0, err
	}
	return c.callAdmitted(ctx, &req)
}

// callAdmitted sends a request without charging it to the budget, and reports it to Observe.
func (c *Client) callAdmitted(ctx context.Context, req *request) (status int, err error) {
	sentAt := time.Now()
	status, cause := c.exchange(ctx, req)
	c.Observe(req.op, outcomeLabel(status, cause), time.Since(sentAt))
	if cause != nil {
		return status, req.errorFor(cause)
	}
	return status, nil
}

// outcomeLabel returns the metric label for the status of a request and the cause of its
// failure. The label has no key, since each key would make a time series of its own.
func outcomeLabel(status int, cause error) string {
	switch {
	case cause != nil:
		return cause.Error()
	case status >= http.StatusBadRequest:
		return strconv.Itoa(status)
	default:
		return "ok"
	}
}

// exchange sends a request and decodes the response. The cause wraps one of the sentinel
// errors of this package.
func (c *Client) exchange(ctx context.Context, req *request) (status int, cause error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	client := c.httpClient
	if req.blocks {
		client = c.watchClient
	}
	status, body, _, err := netio.Call(ctx, client, req.method, c.baseURL+req.path, req.body, maxResponseBytes)
	if errors.Is(err, wire.ErrBodyTooLarge) {
		return 0, ErrResponseTooLarge
	}
	if err != nil {
		c.recordFailure()
		return 0, transportFailure(err)
	}
	c.recordStatus(status)
	if cause := statusFailure(status); cause != nil {
		return status, cause
	}
	if cause := decodeResult(body, req.result); cause != nil {
		return 0, cause
	}
	return status, nil
}

// transportFailure returns the cause of a failure for a request that got no complete
// response.
func transportFailure(err error) error {
	if wire.IsNotSent(err) {
		return ErrRefused
	}
	return ErrOutcomeUnknown
}

// statusFailure returns the cause of a failure for the status of a response; nil: the response
// has a result.
func statusFailure(status int) error {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrRefused
	case http.StatusGone:
		return ErrCompacted
	case http.StatusBadRequest:
		return ErrInvalidRequest
	default:
		return unexpectedStatus(status)
	}
}

// decodeResult decodes the body of a response, unless it is empty or there is no result to
// decode it into.
func decodeResult(body []byte, result any) error {
	if result == nil || len(body) == 0 {
		return nil
	}
	if err := wire.Decode(body, result); err != nil {
		return fmt.Errorf("%w: bad answer: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
