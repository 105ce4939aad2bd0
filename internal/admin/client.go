package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/reconciler"
)

// Client asks a controller's operators' interface.
type Client struct {
	Addr       string
	Token      []byte
	Dial       fasthttp.DialFunc // nil: the network
	httpClient fasthttp.Client
}

// maxAttempts is how often a controller that cannot answer now is asked again.
const maxAttempts = 5

// get asks for one answer. It waits and asks again while the controller says so.
func (c *Client) get(path string, q url.Values, to any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + path + "?" + q.Encode())
	req.Header.Set("Authorization", "Bearer "+string(c.Token))
	c.httpClient.Dial = c.Dial
	for try := 1; ; try++ {
		if err := c.httpClient.DoTimeout(req, resp, 3*requestTimeout); err != nil {
			return fmt.Errorf("%s: %w", c.Addr, err)
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusOK {
			return json.Unmarshal(resp.Body(), to)
		}
		var p ErrorResponse
		if json.Unmarshal(resp.Body(), &p) != nil || p.Error == "" {
			p.Error = strconv.Itoa(status)
		}
		switch {
		case status == fasthttp.StatusServiceUnavailable && try < maxAttempts:
			time.Sleep(time.Second)
		case status == fasthttp.StatusConflict:
			return errSegmentsFolded
		default:
			return errors.New(p.Error)
		}
	}
}

// Ledger reads all that was used, page by page. Where pages are folded while it reads,
// it begins anew.
func (c *Client) Ledger(q url.Values) ([]Entry, error) {
	for range maxAttempts {
		var rows []Entry
		cursor := ""
		for {
			if cursor != "" {
				q.Set("cursor", cursor)
			} else {
				q.Del("cursor")
			}
			var p Entries
			err := c.get(LedgerPath, q, &p)
			if errors.Is(err, errSegmentsFolded) {
				break
			}
			if err != nil {
				return nil, err
			}
			rows = append(rows, p.Entries...)
			if cursor = p.NextCursor; cursor == "" {
				return rows, nil
			}
		}
	}
	return nil, errSegmentsFolded
}

// Explain has the leader say why a job's tasks wait.
func (c *Client) Explain(id string) (*reconciler.Explanation, error) {
	e := &reconciler.Explanation{}
	return e, c.get(JobsPath+id+explainSuffix, nil, e)
}

// MemberStatus tells where the controller stands in the election.
func (c *Client) MemberStatus() (*MemberStatus, error) {
	m := &MemberStatus{}
	return m, c.get(MemberPath, nil, m)
}

// Verify checks all teams' pages.
func (c *Client) Verify() ([]Verification, error) {
	var out []Verification
	q := url.Values{}
	for {
		var v Verification
		if err := c.get(VerifyPath, q, &v); err != nil {
			return out, err
		}
		if v.Team != "" {
			out = append(out, v)
		}
		if v.NextCursor == "" {
			return out, nil
		}
		q.Set("cursor", v.NextCursor)
	}
}

// Intervals lists what is not accounted.
func (c *Client) Intervals() ([]Interval, error) {
	var out []Interval
	q := url.Values{}
	for {
		var p Intervals
		if err := c.get(IntervalsPath, q, &p); err != nil {
			return out, err
		}
		out = append(out, p.Intervals...)
		if p.NextCursor == "" {
			return out, nil
		}
		q.Set("cursor", p.NextCursor)
	}
}

// FairShares tells the teams' standings.
func (c *Client) FairShares() (*FairShares, error) {
	s := &FairShares{}
	return s, c.get(FairSharesPath, nil, s)
}
