// Package store has the client of the consensus-backed key-value store that holds the
// deployment's state, and the layout of the data there.
//
// Client makes requests within the rate budgets. Its errors name the operation and the key,
// and tell whether the request may have been executed. JobCache is a node's copy of the
// live jobs. The records and their keys are in records.go and chunks.go.
package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
)

// Client makes requests to the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL     string
	httpClient  *http.Client // for requests that don't block
	watchClient *http.Client // for requests that block until there are changes
	budget      budget

	// createdAt is when the client was created. lastSuccess is the time of the last
	// response that shows that the store serves this node, lastFailure that of the last
	// request that failed for lack of a response or with status 503. Both count
	// nanoseconds of the monotonic clock since createdAt.
	createdAt   time.Time
	lastSuccess atomic.Int64
	lastFailure atomic.Int64

	// Observe is called, for the metrics, after every request that the client sent or tried
	// to send.
	Observe func(op string, outcome string, duration time.Duration)
}

const (
	// requestTimeout bounds one request. A user must get a response within two seconds in
	// all.
	requestTimeout = 1500 * time.Millisecond
	// listTimeout bounds the request for one page of keys.
	listTimeout = 2 * requestTimeout
	// watchMargin is how long a watch's response may take beyond the time that it blocks.
	watchMargin = 3 * time.Second
	// outageThreshold is how long the store must have served nothing before requests of
	// users are refused without being sent.
	outageThreshold = 2 * time.Second
	// requestConnections and watchConnections bound the connections to the store. The
	// process's socket budget includes their sum.
	requestConnections = 12
	watchConnections   = 4
	// maxResponseBytes bounds a response. A page of pageSize values fits if each has at most
	// 16 KiB.
	maxResponseBytes = 8 << 20
)

// New returns a client of the store at the address. The limits are those of the whole
// deployment; the client uses the share of one of its nodes.
func New(addr string, limits config.StoreLimits, nodes int, network netio.Network) *Client {
	return &Client{
		baseURL:     "http://" + addr,
		httpClient:  &http.Client{Transport: network.Transport(requestConnections, requestConnections)},
		watchClient: &http.Client{Transport: network.Transport(watchConnections, watchConnections)},
		budget:      newBudget(limits, nodes),
		createdAt:   time.Now(),
		Observe:     func(string, string, time.Duration) {},
	}
}

// RemainingBudget returns how many requests, and how many writes of the node itself, the
// budget allows now. A negative number is a debt.
func (c *Client) RemainingBudget() (requests, writes float64) {
	return c.budget.requests.Tokens(), c.budget.writes.Tokens()
}

// Reachable reports whether the store has served this node lately: its last success is
// newer than its last failure.
func (c *Client) Reachable() bool { return c.lastSuccess.Load() >= c.lastFailure.Load() }

func (c *Client) recordSuccess() { c.lastSuccess.Store(int64(time.Since(c.createdAt))) }

// recordStatus records whether a response shows that the store serves this node. Statuses
// other than these show neither.
func (c *Client) recordStatus(status int) {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		c.recordSuccess()
	case http.StatusServiceUnavailable:
		c.recordFailure()
	}
}

func (c *Client) recordFailure() { c.lastFailure.Store(int64(time.Since(c.createdAt))) }

// inOutage reports whether the store has served nothing for longer than outageThreshold.
func (c *Client) inOutage() bool {
	sinceSuccess := time.Since(c.createdAt) - time.Duration(c.lastSuccess.Load())
	return !c.Reachable() && sinceSuccess > outageThreshold
}
