// Package cloud is the client of the cloud's API. It reads machine types and the machine list, and
// scales out and in, all within one rate budget. A scale-out request without a response may still be
// executed later, so callers repeat it under the same name.
//
// Failed calls return an *Error, which says what failed and whether the request may have been
// executed. The client never retries and ignores Retry-After: its callers know what they still want,
// and they delay all their requests together.
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
	baseURL string
	http    *http.Client
	budget  *rate.Limiter
	// Observe is called with the operation, outcome and duration of every call, for the metrics,
	// except calls that are refused at once for lack of a permit. It is set before the first call.
	Observe func(operation string, outcome string, duration time.Duration)
}

// Only the leader makes more than one call per minute, so one node may use most of the rate and of
// the bursts that the cloud allows the deployment.
const (
	// nodeShare is the fraction of the deployment's request rate that one node uses.
	nodeShare = 0.85
	// minRate is the lowest rate of a node, in requests per second. It lets a node work even if the
	// deployment's limit is very low.
	minRate = 0.5
	// burstSeconds is the size of a burst, in seconds' worth of requests at the node's rate. The cloud
	// allows the deployment bursts of two seconds' worth.
	burstSeconds = 1.5
)

const (
	// maxConnections bounds the connections to the cloud. The socket budget reserves as many.
	maxConnections = 4
	// listPageSize is the number of machines requested per page of the machine list.
	listPageSize = 500
)

// New returns a client of the cloud at the address.
func New(addr string, limits config.CloudLimits, network netio.Network) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    &http.Client{Transport: network.Transport(maxConnections, maxConnections)},
		budget:  newBudget(limits.RPS),
		Observe: func(string, string, time.Duration) {},
	}
}

// newBudget returns the rate budget of one node, given the limit of the deployment in requests per
// second.
func newBudget(deploymentRate float64) *rate.Limiter {
	nodeRate := max(minRate, deploymentRate*nodeShare)
	burst := max(1, int(burstSeconds*nodeRate))
	return rate.NewLimiter(rate.Limit(nodeRate), burst)
}

// MachineSpecs returns the machine types and their current prices.
func (c *Client) MachineSpecs(ctx context.Context) ([]wire.MachineSpec, error) {
	var specs wire.MachineSpecs
	call := call{operation: OperationMachineSpecs, method: http.MethodGet, path: "/flavors", response: &specs, checkPermit: alwaysPermitted}
	err := c.do(ctx, call)
	if err == nil && len(specs.Types) == 0 {
		err = call.newError(ErrOutcomeUnknown, http.StatusOK, errNoMachineTypes)
	}
	return specs.Types, err
}

// ScaleOut requests machines and returns their names. The request is idempotent: callers repeat it
// under the same name until there is a response. An error that is duty.ErrNotHeld means that the
// request was not sent.
func (c *Client) ScaleOut(ctx context.Context, permit duty.Permit[duty.ScaleOut], request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var started wire.MachineNames
	err := permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, call{
			operation:   OperationScaleOut,
			method:      http.MethodPost,
			path:        "/machines",
			request:     request,
			response:    &started,
			checkPermit: permit.Check,
		})
	})
	return started.Machines, err
}

// ScaleIn returns machines to the cloud. If it returns nil, the machines no longer exist, and nothing
// that ran on them does.
func (c *Client) ScaleIn(ctx context.Context, permit duty.Permit[duty.ScaleIn], machines []wire.MachineID) error {
	return permit.Do(ctx, func(ctx context.Context) error {
		return c.do(ctx, call{
			operation:   OperationScaleIn,
			method:      http.MethodPost,
			path:        "/machines/release",
			request:     wire.MachineNames{Machines: machines},
			checkPermit: permit.Check,
		})
	})
}

// ListMachines reads the machine list page by page. If a page fails, it returns no machines.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
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

// listPage returns the next page of the machine list, after the machines that are already read.
func (c *Client) listPage(ctx context.Context, read []wire.ListedMachine) (page wire.MachinePage, err error) {
	query := url.Values{"page": {strconv.Itoa(listPageSize)}}
	if len(read) > 0 {
		query.Set("after", string(read[len(read)-1].Name))
	}
	err = c.do(ctx, call{
		operation:   OperationList,
		method:      http.MethodGet,
		path:        "/machines?" + query.Encode(),
		response:    &page,
		checkPermit: alwaysPermitted,
	})
	return page, err
}
