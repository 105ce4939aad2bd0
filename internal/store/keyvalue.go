package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

// listPageSize is the maximum number of keys that List reads with one request.
const listPageSize = 1000

// Get reads a key. found reports whether it exists.
func (c *Client) Get(ctx context.Context, key string) (entry wire.Entry, found bool, err error) {
	if err := c.waitForRateLimit(ctx, 0); err != nil {
		return wire.Entry{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	response, err := c.call(fasthttp.MethodGet, "/keys/"+key, nil)
	if rpc.StatusCode(err) == fasthttp.StatusNotFound {
		return wire.Entry{}, false, nil
	}
	if err != nil {
		return wire.Entry{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	entry, err = wire.DecodeEntry(response)
	if err != nil {
		return entry, false, fmt.Errorf("get %s: %w", key, err)
	}
	return entry, true, nil
}

// List reads all keys with a prefix, in pages. The returned revision is that of the first page, so applying the
// changes after it yields a consistent and current list.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var revision uint64
	after := ""
	for {
		page, err := c.readPage(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// readPage reads, in the order of the keys, up to limit keys with a prefix that are greater than after.
func (c *Client) readPage(ctx context.Context, prefix, after string, limit int) (wire.Page, error) {
	if err := c.waitForRateLimit(ctx, 0); err != nil {
		return wire.Page{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	uri := "/keys?prefix=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(limit)
	if after != "" {
		uri += "&after=" + url.QueryEscape(after)
	}
	response, err := c.call(fasthttp.MethodGet, uri, nil)
	if err != nil {
		return wire.Page{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	page, err := wire.DecodePage(response)
	if err != nil {
		return page, fmt.Errorf("list %s: %w", prefix, err)
	}
	return page, nil
}

// Changes returns the changes of keys with a prefix after a revision. If there are none, it waits up to the given
// time for one. It returns ErrCompacted if the state service no longer keeps the changes since that revision.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.Page, error) {
	if err := c.waitForRateLimit(ctx, 0); err != nil {
		return wire.Page{}, fmt.Errorf("read changes of %s: %w", prefix, err)
	}
	uri := "/changes?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	transport := c.requestTransport
	if wait > 0 {
		transport = c.watchTransport
	}
	// The transport is called directly, since the success of a watch says nothing about the other requests and must
	// not count for LastContact and UnreachableFor.
	response, err := transport.Call(fasthttp.MethodGet, uri, nil, wait+c.timeout)
	if rpc.StatusCode(err) == fasthttp.StatusGone {
		return wire.Page{}, ErrCompacted
	}
	if err != nil {
		return wire.Page{}, fmt.Errorf("read changes of %s: %w", prefix, err)
	}
	page, err := wire.DecodePage(response)
	if err != nil {
		return page, fmt.Errorf("read changes of %s: %w", prefix, err)
	}
	return page, nil
}

// Commit executes a transaction and returns the revision of its changes. ok is false if one of its conditions
// failed. An error is a *CommitError: unless it is ErrNotExecuted, the transaction may have been executed or may
// still be. An urgent transaction counts against the rate limits but does not wait for them.
func (c *Client) Commit(ctx context.Context, txn *wire.Txn, urgent bool) (revision uint64, ok bool, err error) {
	if urgent {
		c.requestLimiter.Allow()
	} else if err := c.waitForRateLimit(ctx, len(txn.Changes)); err != nil {
		return 0, false, &CommitError{NeverExecuted: true, Err: err}
	}
	response, err := c.call(fasthttp.MethodPost, "/commit", txn.Append(nil))
	switch status := rpc.StatusCode(err); {
	case err == nil:
		revision, err = wire.DecodeRevision(response)
		if err != nil {
			return revision, false, &CommitError{Err: err}
		}
		return revision, true, nil
	case status == fasthttp.StatusConflict:
		return 0, false, nil
	case status == fasthttp.StatusBadRequest:
		return 0, false, &CommitError{NeverExecuted: true, Err: fmt.Errorf("%w: %w", ErrRejected, err)}
	case status != 0, errors.Is(err, rpc.ErrNotSent):
		return 0, false, &CommitError{NeverExecuted: true, Err: err}
	}
	return 0, false, &CommitError{Err: err}
}
