// Package cloud is the client of the cloud's API: machine types, scaling out and in, and the machine list, within the rate
// budget. A scale-out request that got no answer may be executed late, so callers repeat it under its name.
//
// Failed calls return an *Error, which says what failed and whether it may have been executed. The client never repeats a
// request by itself and ignores Retry-After: its callers know what they still want, and pause for all their requests alike.
package cloud

import (
	"context"
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

// Client is a client of the cloud's API. It is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	budget *rate.Limiter
	// Observe is called with every call's operation, outcome and duration, for the metrics. It is set before the first call.
	Observe func(operation string, outcome string, duration time.Duration)
}

// Only a leader makes more than a call a minute, so one node may use most of the deployment's budget, and of the bursts.
const (
	// nodeShare is the part of the deployment's request rate that one node uses.
	nodeShare = 0.85
	// minRate, in requests a second, keeps a node working under the lowest limit.
	minRate = 0.5
	// burstSeconds of requests at the node's rate may be sent at once, which is below the two seconds' worth that the cloud
	// allows the deployment.
	burstSeconds = 1.5
)

const (
	// maxConnections bounds the connections to the cloud; the socket budget counts with them.
	maxConnections = 4
	// listPageSize is the number of machines requested at a time.
	listPageSize = 500
)

// New returns a client of the cloud at the address.
func New(addr string, limits config.CloudLimits, network netio.Net) *Client {
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: network.Transport(maxConnections, maxConnections)},
		budget:  newBudget(limits.RPS),
		Observe: func(string, string, time.Duration) {},
	}
}

// newBudget returns a node's rate budget under a deployment's limit, in requests a second.
func newBudget(deploymentRate float64) *rate.Limiter {
	nodeRate := max(minRate, deploymentRate*nodeShare)
	burst := max(1, int(burstSeconds*nodeRate))
	return rate.NewLimiter(rate.Limit(nodeRate), burst)
}

// MachineSpecs returns the machine types and their current prices.
func (c *Client) MachineSpecs(ctx context.Context) ([]wire.MachineSpec, error) {
	var specs wire.MachineSpecs
	call := call{operation: OperationMachineSpecs, method: http.MethodGet, path: "/flavors", response: &specs, permitted: alwaysPermitted}
	err := c.do(ctx, call)
	if err == nil && len(specs.Types) == 0 {
		err = call.failed(ErrUnknown, http.StatusOK, errNoMachineTypes)
	}
	return specs.Types, err
}

// ScaleOut requests machines and returns their names. The request is idempotent: callers repeat it under its name until it
// is answered. An error that is duty.ErrNotHeld means that it was not sent.
func (c *Client) ScaleOut(ctx context.Context, permit duty.Permit[duty.ScaleOut], request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var started wire.MachineNames
	err := permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, call{
			operation: OperationScaleOut,
			method:    http.MethodPost,
			path:      "/machines",
			request:   request,
			response:  &started,
			permitted: permit.Check,
		})
	})
	return started.Machines, err
}

// ScaleIn returns machines to the cloud. After nil they no longer exist, nor does anything that ran on them.
func (c *Client) ScaleIn(ctx context.Context, permit duty.Permit[duty.ScaleIn], machines []wire.MachineID) error {
	return permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, call{
			operation: OperationScaleIn,
			method:    http.MethodPost,
			path:      "/machines/release",
			request:   wire.MachineNames{Machines: machines},
			permitted: permit.Check,
		})
	})
}

// List returns the machine list, which it reads page by page.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	for {
		page, err := c.listPage(ctx, all)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
	}
}

// listPage returns the page of the machine list that follows the machines that were read before.
func (c *Client) listPage(ctx context.Context, read []wire.ListedMachine) (page wire.MachinePage, err error) {
	query := url.Values{"page": {strconv.Itoa(listPageSize)}}
	if len(read) > 0 {
		query.Set("after", string(read[len(read)-1].Name))
	}
	err = c.do(ctx, call{
		operation: OperationList,
		method:    http.MethodGet,
		path:      "/machines?" + query.Encode(),
		response:  &page,
		permitted: alwaysPermitted,
	})
	return page, err
}
