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
	// adminTimeout bounds a request of the administration API.
	adminTimeout = 5 * time.Second
	// maxAdminAnswer bounds the size of its answer, in bytes.
	maxAdminAnswer = 1 << 20
)

// Paths of the administration API.
const (
	settingsPath = "/admin/settings"
	versionsPath = "/admin/versions"
)

// adminError is an answer of the administration API other than OK. A status of 503 may
// be tried again.
type adminError struct {
	status int
	reason string
}

// Error returns the reason with the status.
func (e *adminError) Error() string { return fmt.Sprintf("%s (%d)", e.reason, e.status) }

// newAdminError decodes the answer to a request that failed.
func newAdminError(status int, answer []byte) *adminError {
	var body wire.ErrorBody
	if wire.Decode(answer, &body) != nil {
		body.Error = "unreadable answer"
	}
	if body.Field != "" {
		body.Error = body.Field + ": " + body.Error
	}
	return &adminError{status: status, reason: body.Error}
}

// callAdmin sends one request of the administration API, and decodes the answer into
// result.
func callAdmin(method, addr, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	status, answer, _, err := netio.Call(ctx, http.DefaultClient, method, "http://"+addr+path, request, maxAdminAnswer)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return newAdminError(status, answer)
	}
	return wire.Decode(answer, result)
}
