package cloud

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

const (
	// callTimeout is the longest that a call may take, its wait for the rate budget included.
	callTimeout = 4 * time.Second
	// maxAnswer bounds an answer, in bytes. A page of the machine list takes some 200 bytes a machine.
	maxAnswer = 4 << 20
)

// Operation is a request of the cloud's API, by its value of the metrics' operation label.
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
	response  any // what the answer is decoded into; nil: it is ignored
	// permitted is asked right before the request is sent, after any wait for the rate budget.
	permitted func() error
}

// alwaysPermitted is for calls that change nothing.
func alwaysPermitted() error { return nil }

// do makes a call and tells the observer of its outcome. It does not retry: a caller that repeats a request decides whether
// it still wants it.
func (c *Client) do(ctx context.Context, call call) error {
	begin := time.Now()
	err := c.attempt(ctx, call)
	c.Observe(string(call.operation), outcomeOf(err), time.Since(begin))
	return err
}

// attempt sends the request within the rate budget, if it is permitted by then, and decodes the answer.
func (c *Client) attempt(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return call.failed(ErrUnavailable, 0, err)
	}
	if err := call.permitted(); err != nil {
		return err
	}
	status, answer, _, err := netio.Call(ctx, c.http, call.method, c.base+call.path, call.request, maxAnswer)
	if err != nil {
		return call.failed(classOfTransport(err), 0, err)
	}
	if status != http.StatusOK {
		class, cause := classOfStatus(status, answer)
		return call.failed(class, status, cause)
	}
	return call.decode(answer)
}

// decode decodes the answer to a call that was executed.
func (c *call) decode(answer []byte) error {
	if c.response == nil {
		return nil
	}
	if err := wire.Decode(answer, c.response); err != nil {
		return c.failed(ErrUnknown, http.StatusOK, err)
	}
	return nil
}

// failed returns the error of a call.
func (c *call) failed(class error, status int, cause error) *Error {
	return &Error{Operation: c.operation, Class: class, Status: status, Cause: cause}
}
