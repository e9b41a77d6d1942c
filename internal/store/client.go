// Package store is the client of the consensus-backed key-value store that holds the
// deployment's state, and the layout of what is kept there.
//
// Client makes requests within the rate budgets; its errors say on which key which
// operation failed and whether it may have been executed. JobCache is a node's copy of
// the live jobs. The records and their keys are in records.go and chunks.go.
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
	baseURL string
	http    *http.Client
	watches *http.Client
	budget  budget

	// started is when the client was made. lastSuccess is the time since then of the
	// last answer that shows that the service serves this node, lastRefusal that of the
	// last request that it did not serve, both in nanoseconds of the monotonic clock.
	started     time.Time
	lastSuccess atomic.Int64
	lastRefusal atomic.Int64

	// Observe is called after every request, for the metrics.
	Observe func(op string, outcome string, took time.Duration)
}

const (
	// requestTimeout bounds one request; a user waits two seconds in all.
	requestTimeout = 1500 * time.Millisecond
	// listTimeout bounds the request for one page of keys.
	listTimeout = 2 * requestTimeout
	// watchMargin is what an answer may take beyond the time for which a watch blocks.
	watchMargin = 3 * time.Second
	// outageAfter is how long the service must have answered nothing before users
	// are refused without a try.
	outageAfter = 2 * time.Second
	// requestConnections and watchConnections bound the connections to the service;
	// the socket budget counts with their sum.
	requestConnections = 12
	watchConnections   = 4
	// maxAnswer bounds an answer, in bytes: a page of the largest values.
	maxAnswer = 8 << 20
)

// New returns a client of the service at the address, for one of so many nodes. The
// limits are those of the whole deployment.
func New(addr string, limits config.StoreLimits, nodes int, network netio.Net) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    &http.Client{Transport: network.Transport(requestConnections, requestConnections)},
		watches: &http.Client{Transport: network.Transport(watchConnections, watchConnections)},
		budget:  newBudget(limits, nodes),
		started: time.Now(),
		Observe: func(string, string, time.Duration) {},
	}
}

// RemainingBudget returns what is left of the budgets for requests and for writes.
func (c *Client) RemainingBudget() (requests, writes float64) {
	return c.budget.requests.Tokens(), c.budget.writes.Tokens()
}

// Reachable reports whether the service has served this node lately: its last good
// answer is newer than its last refusal.
func (c *Client) Reachable() bool { return c.lastSuccess.Load() >= c.lastRefusal.Load() }

func (c *Client) recordSuccess() { c.lastSuccess.Store(int64(time.Since(c.started))) }

// recordAnswer records what the status of an answer shows of the service. A status that is
// neither a result nor a refusal shows nothing.
func (c *Client) recordAnswer(status int) {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		c.recordSuccess()
	case http.StatusServiceUnavailable:
		c.recordRefusal()
	}
}

func (c *Client) recordRefusal() { c.lastRefusal.Store(int64(time.Since(c.started))) }

// inOutage reports whether the service has answered nothing for a while.
func (c *Client) inOutage() bool {
	sinceSuccess := time.Since(c.started) - time.Duration(c.lastSuccess.Load())
	return !c.Reachable() && sinceSuccess > outageAfter
}
