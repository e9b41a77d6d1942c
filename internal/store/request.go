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

// request is one request to the service.
type request struct {
	op     string
	key    string // what it is about, for errors
	class  RequestClass
	writes int // how many keys it changes

	method  string
	path    string
	body    any // nil: none
	result  any // the answer is decoded into it; nil: the answer is dropped
	timeout time.Duration
	blocks  bool // for changes; such requests have connections of their own
}

// failed returns the error of the request that failed for the cause.
func (r *request) failed(cause error) error { return &OpError{Op: r.op, Key: r.key, Err: cause} }

// unexpected returns the error of a request that was answered with a status that has no
// meaning for it.
func (r *request) unexpected(status int) error { return r.failed(unexpectedStatus(status)) }

func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// admit takes the request from the budget, and waits for it or refuses it as its class
// says.
func (c *Client) admit(ctx context.Context, req *request) error {
	switch req.class {
	case ClassCritical:
		c.budget.charge(req.writes)
	case ClassBackground:
		if c.budget.wait(ctx, req.writes) != nil {
			return req.failed(ErrRefused)
		}
	case ClassUser:
		// A user isn't kept waiting for a service that is in an outage; the polls of
		// the leader election find out when it is back.
		if c.inOutage() {
			return req.failed(ErrRefused)
		}
		if !c.budget.allowUser(req.writes) {
			return req.failed(ErrRateLimited)
		}
	}
	return nil
}

// call makes a request once the budget admits it. Without an error the status is 200,
// 404 or 409.
func (c *Client) call(ctx context.Context, req request) (status int, err error) {
	if err := c.admit(ctx, &req); err != nil {
		return 0, err
	}
	return c.callAdmitted(ctx, &req)
}

// callAdmitted makes a request that the budget has admitted, and observes it.
func (c *Client) callAdmitted(ctx context.Context, req *request) (status int, err error) {
	begin := time.Now()
	status, cause := c.exchange(ctx, req)
	c.Observe(req.op, outcomeLabel(status, cause), time.Since(begin))
	if cause != nil {
		return status, req.failed(cause)
	}
	return status, nil
}

// outcomeLabel returns the metric label of a request that ended with the status and the
// cause of its failure. The label holds no key: each would be a time series of its own.
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

// exchange sends a request and decodes the answer. The error wraps a sentinel.
func (c *Client) exchange(ctx context.Context, req *request) (status int, cause error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	client := c.http
	if req.blocks {
		client = c.watches
	}
	status, raw, _, err := netio.Call(ctx, client, req.method, c.baseURL+req.path, req.body, maxAnswer)
	if errors.Is(err, wire.ErrBodyTooLarge) {
		return 0, ErrResponseTooLarge
	}
	if err != nil {
		c.recordRefusal()
		return 0, transportFailure(err)
	}
	c.recordAnswer(status)
	if cause := statusFailure(status); cause != nil {
		return status, cause
	}
	if cause := decodeResult(raw, req.result); cause != nil {
		return 0, cause
	}
	return status, nil
}

// transportFailure returns the cause of a failure for a request that got no answer.
func transportFailure(err error) error {
	if wire.IsNotSent(err) {
		return ErrRefused
	}
	return ErrOutcomeUnknown
}

// statusFailure returns the cause of a failure for an answer that is not a result, and nil
// for one that is.
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

// decodeResult decodes an answer, unless it is empty or nothing of it is wanted.
func decodeResult(raw []byte, result any) error {
	if result == nil || len(raw) == 0 {
		return nil
	}
	if err := wire.Decode(raw, result); err != nil {
		return fmt.Errorf("%w: bad answer: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
