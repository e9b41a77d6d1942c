package store

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lilaclead/internal/wire"
)

// CreateGrant creates a lease in the key-value store and returns its id.
func (c *Client) CreateGrant(ctx context.Context, ttl time.Duration) (wire.GrantID, error) {
	var result wire.GrantResponse
	req := request{
		op:      opGrant,
		class:   ClassCritical,
		method:  http.MethodPost,
		path:    "/grants",
		body:    wire.GrantRequest{TTLMillis: ttl.Milliseconds()},
		result:  &result,
		timeout: requestTimeout,
	}
	status, err := c.call(ctx, req)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, req.errorForStatus(status)
	}
	return result.Grant, nil
}

// RenewGrant extends a lease to its full duration. The error wraps ErrNotFound if the lease
// has expired.
func (c *Client) RenewGrant(ctx context.Context, id wire.GrantID, timeout time.Duration) error {
	req := request{
		op:      opRenew,
		key:     leaseName(id),
		class:   ClassCritical,
		method:  http.MethodPost,
		path:    fmt.Sprintf("/grants/%d/renew", id),
		body:    map[string]any{},
		timeout: timeout,
	}
	status, err := c.call(ctx, req)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return req.errorFor(ErrNotFound)
	}
	return nil
}

// RevokeGrant revokes a lease. It is not charged to the budget.
func (c *Client) RevokeGrant(ctx context.Context, id wire.GrantID) error {
	req := request{
		op:      opRevoke,
		key:     leaseName(id),
		method:  http.MethodDelete,
		path:    fmt.Sprintf("/grants/%d", id),
		timeout: requestTimeout,
	}
	_, err := c.callAdmitted(ctx, &req)
	return err
}

// leaseName names a lease in errors.
func leaseName(id wire.GrantID) string { return "lease " + strconv.FormatUint(uint64(id), 10) }
