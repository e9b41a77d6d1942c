// Package cloud is the client of the cloud's interface: machine types, rentals,
// releases and the machine list, within the rate budget. A rental without an
// answer may be carried out late, so callers repeat it under its name.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// What a call can come to, other than its result.
var (
	// ErrNoCapacity: no machine of this type and price in this zone now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrBusy: too many requests, or the interface is down; not executed.
	ErrBusy = errors.New("cloud: busy or down")
	// ErrInvalid: the cloud calls the request malformed.
	ErrInvalid = errors.New("cloud: request refused as invalid")
	// ErrUnknown: no usable answer; may have been executed, or may still be.
	ErrUnknown = errors.New("cloud: outcome unknown")
)

// Client talks to the cloud. It is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	budget *rate.Limiter
	// Observe is told of every call, for the metrics.
	Observe func(op string, outcome string, took time.Duration)
}

const (
	// callTimeout is the longest that a call may take, its wait for the budget
	// included.
	callTimeout = 4 * time.Second
	// nodeShare is the part of the deployment's budget that one node uses, and
	// minRate (a second) what it uses at least.
	nodeShare = 0.85
	minRate   = 0.5
	// burstSeconds is below the two seconds' worth that the cloud allows.
	burstSeconds = 1.5
	// connections to the cloud; the socket budget counts with them.
	connections = 4
	// pageSize is the number of machines asked for at a time.
	pageSize = 500
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 4 << 20
	// noCapacity is the cloud's reason for a refusal that is not an outage.
	noCapacity = "no capacity"
)

// New makes a client. Only a leader makes more than a call a minute, so a
// node may use most of the budget, and of the bursts of two seconds' worth.
func New(addr string, s config.Cloud, nw netio.Net) *Client {
	limit := max(minRate, s.RPS*nodeShare)
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: nw.Transport(connections, connections)},
		budget:  rate.NewLimiter(rate.Limit(limit), max(1, int(burstSeconds*limit))),
		Observe: func(string, string, time.Duration) {},
	}
}

// unguarded is for calls that change nothing.
func unguarded() error { return nil }

// do makes one call. Right before it is sent, after any wait for the budget, it asks
// whether it still may be.
func (c *Client) do(ctx context.Context, may func() error, op, method, path string, body, out any) (err error) {
	begin := time.Now()
	defer func() {
		outcome := "ok"
		if err != nil {
			outcome = err.Error()
		}
		c.Observe(op, outcome, time.Since(begin))
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return ErrBusy
	}
	if err := may(); err != nil {
		return err
	}
	status, raw, _, err := netio.Call(ctx, c.http, method, c.base+path, body, maxAnswer)
	if err != nil {
		if wire.NotSent(err) {
			return ErrBusy
		}
		return ErrUnknown
	}
	switch status {
	case http.StatusOK:
		if out != nil {
			if err := wire.Decode(raw, out); err != nil {
				return fmt.Errorf("%w: bad answer: %w", ErrUnknown, err)
			}
		}
		return nil
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusServiceUnavailable:
		var reason wire.ErrorBody
		if wire.Decode(raw, &reason) == nil && reason.Error == noCapacity {
			return ErrNoCapacity
		}
		return ErrBusy
	case http.StatusBadRequest:
		return ErrInvalid
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

// MachineSpecs reads the machine types and their current prices.
func (c *Client) MachineSpecs(ctx context.Context) ([]wire.MachineSpec, error) {
	var offered wire.MachineSpecs
	err := c.do(ctx, unguarded, "flavors", "GET", "/flavors", nil, &offered)
	if err == nil && len(offered.Types) == 0 {
		err = fmt.Errorf("%w: no machine types", ErrUnknown)
	}
	return offered.Types, err
}

// ScaleOut asks for machines; a request is repeated under its name until it is
// answered. An error that is duty.ErrNotHeld says that it was not sent.
func (c *Client) ScaleOut(ctx context.Context, permit duty.Permit[duty.ScaleOut], request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var rented wire.MachineNames
	err := permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, permit.Check, "rent", "POST", "/machines", request, &rented)
	})
	return rented.Machines, err
}

// ScaleIn returns machines; after nil they are gone with all that was on
// them.
func (c *Client) ScaleIn(ctx context.Context, permit duty.Permit[duty.ScaleIn], machines []wire.MachineID) error {
	return permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, permit.Check, "release", "POST", "/machines/release", wire.MachineNames{Machines: machines}, nil)
	})
}

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		query := url.Values{"page": {strconv.Itoa(pageSize)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.MachinePage
		if err := c.do(ctx, unguarded, "list", "GET", "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
		after = string(page.Machines[len(page.Machines)-1].Name)
	}
}
