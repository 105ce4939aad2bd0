// Package cloud is the client of the cloud that rents out machines.
package cloud

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// Client talks to the cloud within a budget of requests.
type Client struct {
	rpc     *rpc.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New makes a client. The rate is this controller's share; connections are made under a
// condition (rpc.New).
func New(addr string, perSecond float64, timeout time.Duration, under func(rpc.DialFunc) rpc.DialFunc) *Client {
	return &Client{rpc: rpc.New(addr, 8, under), limiter: rate.NewLimiter(rate.Limit(perSecond), 1), timeout: timeout}
}

// SetRate sets this controller's share of the published limit.
func (c *Client) SetRate(perSecond float64) {
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.limiter.SetBurst(max(1, int(perSecond)))
}

// Wait waits until a request is within the budget. Rent and Return do not wait
// themselves: their caller checks its right to act in between.
func (c *Client) Wait(ctx context.Context) error { return c.limiter.Wait(ctx) }

func (c *Client) get(ctx context.Context, uri string) ([]byte, error) {
	if err := c.Wait(ctx); err != nil {
		return nil, err
	}
	return c.rpc.Call(fasthttp.MethodGet, uri, nil, c.timeout)
}

// Catalog returns the machine types.
func (c *Client) Catalog(ctx context.Context) ([]model.MachineType, error) {
	out, err := c.get(ctx, "/catalog")
	if err != nil {
		return nil, err
	}
	return wire.DecodeCatalog(out)
}

// Provision asks for machines. full tells that the cloud has answered that it has
// none of this kind. Any error leaves the outcome open.
func (c *Client) Provision(r model.Provisioning) (names []string, full bool, err error) {
	out, err := c.rpc.Call(fasthttp.MethodPost, "/rentals", wire.AppendProvisioning(nil, r), c.timeout)
	if err != nil {
		switch rpc.StatusCode(err) {
		case fasthttp.StatusBadRequest:
			return nil, true, nil // it will never be taken
		case fasthttp.StatusServiceUnavailable:
			return nil, strings.Contains(string(err.(*rpc.StatusError).Body), "capacity"), err
		}
		return nil, false, err
	}
	names, err = wire.DecodeMachineNames(out)
	return names, false, err
}

// Release gives machines back. Without an error they are gone.
func (c *Client) Release(names []string) error {
	_, err := c.rpc.Call(fasthttp.MethodPost, "/rentals/return", wire.AppendMachineNames(nil, names), c.timeout)
	return err
}

// ListMachines returns all rented machines, as of some time ago.
func (c *Client) ListMachines(ctx context.Context) ([]model.MachineInfo, error) {
	var all []model.MachineInfo
	after := ""
	for {
		uri := "/rentals?page=500"
		if after != "" {
			uri += "&after=" + url.QueryEscape(after)
		}
		out, err := c.get(ctx, uri)
		if err != nil {
			return nil, err
		}
		page, more, err := wire.DecodeMachineList(out)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, nil
		}
		after = page[len(page)-1].Name
	}
}
