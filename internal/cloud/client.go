// Package cloud is the client of the cloud's interface, within its rate
// budget.
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

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// What a call can come to, other than its result.
var (
	// ErrNoCapacity: none of this type, zone and kind now.
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

// The longest that a call may take.
const callTimeout = 4 * time.Second

// New makes a client. Only a leader makes more than a call a minute, so a
// node may use most of the budget, and of the bursts of two seconds' worth.
func New(addr string, s config.Cloud, nw netio.Net) *Client {
	own := max(0.5, s.RPS*0.85)
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: nw.Transport(4, 4)},
		budget:  rate.NewLimiter(rate.Limit(own), max(1, int(1.5*own))),
		Observe: func(string, string, time.Duration) {},
	}
}

func (c *Client) do(ctx context.Context, op, method, path string, body, out any) (err error) {
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
	status, raw, _, err := netio.Call(ctx, c.http, method, c.base+path, body, 4<<20)
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
				return fmt.Errorf("%w: bad answer: %v", ErrUnknown, err)
			}
		}
		return nil
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusServiceUnavailable:
		var reason wire.Reason
		if wire.Decode(raw, &reason) == nil && reason.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrBusy
	case http.StatusBadRequest:
		return ErrInvalid
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

// Flavors reads the machine types and their current prices.
func (c *Client) Flavors(ctx context.Context) ([]wire.MachineSpec, error) {
	var f wire.MachineSpecs
	err := c.do(ctx, "flavors", "GET", "/flavors", nil, &f)
	if err == nil && len(f.Types) == 0 {
		err = fmt.Errorf("%w: no machine types", ErrUnknown)
	}
	return f.Types, err
}

// Rent asks for machines; a booking is repeated under its name until it is
// answered.
func (c *Client) Rent(ctx context.Context, b wire.RentalRequest) ([]wire.MachineID, error) {
	var h wire.MachineNames
	err := c.do(ctx, "rent", "POST", "/machines", b, &h)
	return h.Machines, err
}

// Release returns machines; after nil they are gone with all that was on
// them.
func (c *Client) Release(ctx context.Context, hosts []wire.MachineID) error {
	return c.do(ctx, "release", "POST", "/machines/release", wire.MachineNames{Machines: hosts}, nil)
}

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		q := url.Values{"page": {strconv.Itoa(500)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.MachinePage
		if err := c.do(ctx, "list", "GET", "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
		after = string(page.Machines[len(page.Machines)-1].Name)
	}
}
