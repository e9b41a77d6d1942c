package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

const (
	// adminTimeout bounds a request to the administration API.
	adminTimeout = 5 * time.Second
	// maxAdminResponseBytes bounds the size of its response.
	maxAdminResponseBytes = 1 << 20
)

// Paths of the administration API.
const (
	settingsPath = "/admin/settings"
	versionsPath = "/admin/versions"
)

// adminError is a response of the administration API with a status other than 200. A request
// that is answered 503 may be retried.
type adminError struct {
	status int
	reason string
}

// Error returns the reason with the status.
func (e *adminError) Error() string { return fmt.Sprintf("%s (%d)", e.reason, e.status) }

// newAdminError decodes the response to a failed request.
func newAdminError(status int, response []byte) *adminError {
	var body wire.ErrorBody
	if wire.Decode(response, &body) != nil {
		body.Error = "unreadable answer"
	}
	if body.Field != "" {
		body.Error = body.Field + ": " + body.Error
	}
	return &adminError{status: status, reason: body.Error}
}

// callAdmin sends a request to the administration API, and decodes the response into result.
func callAdmin(method, addr, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	status, response, _, err := netio.Call(ctx, http.DefaultClient, method, "http://"+addr+path, request, maxAdminResponseBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return newAdminError(status, response)
	}
	return wire.Decode(response, result)
}
