// Package cloud is the client of the cloud, which provisions and releases machines.
//
// Reads wait for the rate limit by themselves. Provision and Release do not: their
// caller waits first and then checks that its leadership lease is still valid.
package cloud

import (
	"bytes"
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// The published paths.
const (
	catalogPath   = "/catalog"
	provisionPath = "/rentals"
	releasePath   = "/rentals/return"
	listPath      = "/rentals?page=500"
	listAfter     = "&after="
)

// noCapacity is what the body of a 503 contains where the cloud has no machines of a
// kind left.
const noCapacity = "capacity"

const maxConns = 8

// Client sends requests to the cloud within a rate limit. It may be used from several
// goroutines. Its errors are those of package rpc, of a malformed answer, or of a
// context that ended while a read waited for the rate limit.
type Client struct {
	rpc     *rpc.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New returns a client of the cloud at addr (host:port). perSecond is this controller's
// share of the published limit; timeout bounds each request without the wait for the
// rate limit.
func New(addr string, perSecond float64, timeout time.Duration, wrapDial rpc.DialWrapper) *Client {
	return &Client{
		rpc:     rpc.New(addr, maxConns, wrapDial),
		limiter: rate.NewLimiter(rate.Limit(perSecond), 1),
		timeout: timeout,
	}
}

// SetRate sets this controller's share of the published limit.
func (c *Client) SetRate(perSecond float64) {
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.limiter.SetBurst(max(1, int(perSecond)))
}

// Wait waits until a request is within the rate limit.
func (c *Client) Wait(ctx context.Context) error { return c.limiter.Wait(ctx) }

func (c *Client) get(ctx context.Context, uri string) ([]byte, error) {
	if err := c.Wait(ctx); err != nil {
		return nil, err
	}
	return c.rpc.Call(fasthttp.MethodGet, uri, nil, c.timeout)
}

// Catalog returns the machine types.
func (c *Client) Catalog(ctx context.Context) ([]model.MachineType, error) {
	body, err := c.get(ctx, catalogPath)
	if err != nil {
		return nil, err
	}
	return wire.DecodeCatalog(body)
}

// Provision requests machines and returns their names. refused reports that the cloud
// refuses this kind of machine, for now or for good. After an error without it the
// outcome is unknown; a repetition under the same Provisioning.Name provisions nothing
// twice.
func (c *Client) Provision(p model.Provisioning) (names []string, refused bool, err error) {
	body, err := c.rpc.Call(fasthttp.MethodPost, provisionPath, wire.AppendProvisioning(nil, p), c.timeout)
	var status *rpc.StatusError
	switch {
	case err == nil:
		names, err = wire.DecodeMachineNames(body)
		return names, false, err
	case !errors.As(err, &status):
		return nil, false, err
	case status.Status == fasthttp.StatusBadRequest:
		return nil, true, nil // no repetition of the request can succeed
	case status.Status == fasthttp.StatusServiceUnavailable:
		return nil, bytes.Contains(status.Body, []byte(noCapacity)), err
	}
	return nil, false, err
}

// Release releases machines. Without an error they are gone; after one the outcome is
// unknown.
func (c *Client) Release(names []string) error {
	_, err := c.rpc.Call(fasthttp.MethodPost, releasePath, wire.AppendMachineNames(nil, names), c.timeout)
	return err
}

// ListMachines returns all provisioned machines. The cloud's list lags behind.
func (c *Client) ListMachines(ctx context.Context) ([]model.MachineInfo, error) {
	var machines []model.MachineInfo
	after := ""
	for {
		uri := listPath
		if after != "" {
			uri += listAfter + url.QueryEscape(after)
		}
		body, err := c.get(ctx, uri)
		if err != nil {
			return nil, err
		}
		page, more, err := wire.DecodeMachineList(body)
		if err != nil {
			return nil, err
		}
		machines = append(machines, page...)
		if !more || len(page) == 0 {
			return machines, nil
		}
		after = page[len(page)-1].Name
	}
}
