// Package cloud implements the client of the cloud, which provisions and releases machines.
//
// Catalog and ListMachines wait for the rate limit themselves. Provision and Release do not: their caller calls Wait
// first and then checks that its leadership lease is still valid, since the lease may expire during the wait.
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

// Paths and query parameters of the cloud's published API.
const (
	catalogPath        = "/catalog"
	provisionPath      = "/rentals"
	releasePath        = "/rentals/return"
	listPath           = "/rentals?page=500"
	listAfterParameter = "&after=" // followed by the name of the last machine of the previous page
)

// noCapacityText is contained in the body of a 503 response if the cloud has no machines of the requested kind left.
// A 503 without it has another cause, such as an exceeded rate limit.
const noCapacityText = "capacity"

// maxConns bounds the connections to the cloud.
const maxConns = 8

// Client sends requests to the cloud within a rate limit. It is safe for concurrent use. Its methods return the
// errors of package rpc, errors for malformed responses, and the error of a context that ends during the wait for the
// rate limit.
type Client struct {
	rpc     *rpc.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New returns a client of the cloud at addr (host:port). perSecond is this controller's share of the published rate
// limit, in requests per second. timeout bounds each request, excluding the wait for the rate limit. wrapDial may
// be nil.
func New(addr string, perSecond float64, timeout time.Duration, wrapDial rpc.DialWrapper) *Client {
	return &Client{
		rpc:     rpc.New(addr, maxConns, wrapDial),
		limiter: rate.NewLimiter(rate.Limit(perSecond), 1),
		timeout: timeout,
	}
}

// SetRate sets this controller's share of the published rate limit, in requests per second. It allows bursts of one
// second's requests.
func (c *Client) SetRate(perSecond float64) {
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.limiter.SetBurst(max(1, int(perSecond)))
}

// Wait waits until the rate limit allows another request. It returns an error if ctx ends first.
func (c *Client) Wait(ctx context.Context) error { return c.limiter.Wait(ctx) }

func (c *Client) get(ctx context.Context, uri string) ([]byte, error) {
	if err := c.Wait(ctx); err != nil {
		return nil, err
	}
	return c.rpc.Call(fasthttp.MethodGet, uri, nil, c.timeout)
}

// Catalog returns the machine types that the cloud offers.
func (c *Client) Catalog(ctx context.Context) ([]model.MachineType, error) {
	body, err := c.get(ctx, catalogPath)
	if err != nil {
		return nil, err
	}
	return wire.DecodeCatalog(body)
}

// Provision requests machines and returns their names. refused reports that the cloud does not provide this kind of
// machine: temporarily, for lack of capacity, with an error, or never, because the request is invalid, without one. If
// refused is false and err is not nil, the outcome is unknown. The request is idempotent: a retry with the same
// Provisioning.Name does not provision machines a second time.
func (c *Client) Provision(provisioning model.Provisioning) (names []string, refused bool, err error) {
	body, err := c.rpc.Call(fasthttp.MethodPost, provisionPath, wire.AppendProvisioning(nil, provisioning), c.timeout)
	var statusErr *rpc.StatusError
	switch {
	case err == nil:
		names, err = wire.DecodeMachineNames(body)
		return names, false, err
	case !errors.As(err, &statusErr):
		return nil, false, err
	case statusErr.Status == fasthttp.StatusBadRequest:
		return nil, true, nil // a retry of the request cannot succeed
	case statusErr.Status == fasthttp.StatusServiceUnavailable:
		return nil, bytes.Contains(statusErr.Body, []byte(noCapacityText)), err
	}
	return nil, false, err
}

// Release releases machines. If it returns nil, the machines are gone; otherwise the outcome is unknown.
func (c *Client) Release(names []string) error {
	_, err := c.rpc.Call(fasthttp.MethodPost, releasePath, wire.AppendMachineNames(nil, names), c.timeout)
	return err
}

// ListMachines returns all provisioned machines. The cloud's list lags behind its actual state: it may lack machines
// that were provisioned recently, and still contain machines that were released recently.
func (c *Client) ListMachines(ctx context.Context) ([]model.MachineInfo, error) {
	var machines []model.MachineInfo
	after := ""
	for {
		uri := listPath
		if after != "" {
			uri += listAfterParameter + url.QueryEscape(after)
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
