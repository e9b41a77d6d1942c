package cloud

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

const (
	// callTimeout bounds a call, including its wait for the rate budget.
	callTimeout = 4 * time.Second
	// maxResponseBytes bounds the body of a response. A page of the machine list takes about 200
	// bytes per machine.
	maxResponseBytes = 4 << 20
)

// Operation is a kind of request to the cloud's API. Its text is the value of the "op" label of the
// metrics.
type Operation string

// The operations of the cloud's API.
const (
	OperationMachineSpecs Operation = "flavors"
	OperationScaleOut     Operation = "rent"
	OperationScaleIn      Operation = "release"
	OperationList         Operation = "list"
)

// call is one request to the cloud.
type call struct {
	operation Operation
	method    string
	path      string
	request   any // nil: no body
	response  any // the response body is decoded into it; nil: the body is ignored
	// checkPermit is called after any wait for the rate budget, right before the request is sent.
	// Unless it returns nil, the request is not sent.
	checkPermit func() error
}

// alwaysPermitted is the checkPermit of calls that change nothing.
func alwaysPermitted() error { return nil }

// do makes a call and reports its outcome to Observe. It does not retry: only the caller knows
// whether it still wants the request.
func (c *Client) do(ctx context.Context, call call) error {
	begin := time.Now()
	err := c.exchange(ctx, call)
	c.Observe(string(call.operation), outcomeOf(err), time.Since(begin))
	return err
}

// exchange waits for the rate budget, checks the permit, sends the request and decodes the response.
func (c *Client) exchange(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return call.newError(ErrUnavailable, 0, err)
	}
	if err := call.checkPermit(); err != nil {
		return err
	}
	status, body, _, err := netio.Call(ctx, c.http, call.method, c.baseURL+call.path, call.request, maxResponseBytes)
	if err != nil {
		return call.newError(classOfTransportError(err), 0, err)
	}
	if status != http.StatusOK {
		class, cause := classOfStatus(status, body)
		return call.newError(class, status, cause)
	}
	return call.decode(body)
}

// decode decodes the body of a response with status 200.
func (c *call) decode(body []byte) error {
	if c.response == nil {
		return nil
	}
	if err := wire.Decode(body, c.response); err != nil {
		return c.newError(ErrOutcomeUnknown, http.StatusOK, err)
	}
	return nil
}

func (c *call) newError(class error, status int, cause error) *Error {
	return &Error{Operation: c.operation, Class: class, Status: status, Cause: cause}
}
