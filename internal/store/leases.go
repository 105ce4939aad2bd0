package store

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// Requests for leases count against the rate limits but never wait for them, because a leader must renew its lease
// in time.

// GrantLease acquires a lease that expires unless it is renewed within duration, and returns its ID. After an error
// the lease may exist; as nothing renews it, it expires.
func (c *Client) GrantLease(duration time.Duration) (uint64, error) {
	c.requestLimiter.Allow()
	body := wire.AppendLeaseRequest(nil, uint64(duration.Milliseconds()))
	response, err := c.call(fasthttp.MethodPost, "/grants", body)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	id, err := wire.DecodeLeaseID(response)
	if err != nil {
		return id, fmt.Errorf("grant lease: %w", err)
	}
	return id, nil
}

// RenewLease renews a lease for its duration. It returns ErrLeaseExpired if the state service does not know the
// lease. After any other error the lease may have been renewed.
func (c *Client) RenewLease(id uint64) error {
	c.requestLimiter.Allow()
	_, err := c.call(fasthttp.MethodPost, "/grants/"+strconv.FormatUint(id, 10)+"/touch", nil)
	if rpc.StatusCode(err) == fasthttp.StatusNotFound {
		return ErrLeaseExpired
	}
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", id, err)
	}
	return nil
}

// RevokeLease ends a lease. It returns nil if the lease has expired already.
func (c *Client) RevokeLease(id uint64) error {
	c.requestLimiter.Allow()
	_, err := c.call(fasthttp.MethodDelete, "/grants/"+strconv.FormatUint(id, 10), nil)
	if err != nil && rpc.StatusCode(err) != fasthttp.StatusNotFound {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
