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
	Addr  string
	Token []byte
	Dial  fasthttp.DialFunc // nil: the network
	http  fasthttp.Client
}

// tries is how often a controller that cannot answer now is asked again.
const tries = 5

// get asks for one answer. It waits and asks again while the controller says so.
func (c *Client) get(path string, q url.Values, to any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + path + "?" + q.Encode())
	req.Header.Set("Authorization", "Bearer "+string(c.Token))
	c.http.Dial = c.Dial
	for try := 1; ; try++ {
		if err := c.http.DoTimeout(req, resp, 3*askWait); err != nil {
			return fmt.Errorf("%s: %w", c.Addr, err)
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusOK {
			return json.Unmarshal(resp.Body(), to)
		}
		var p Problem
		if json.Unmarshal(resp.Body(), &p) != nil || p.Error == "" {
			p.Error = strconv.Itoa(status)
		}
		switch {
		case status == fasthttp.StatusServiceUnavailable && try < tries:
			time.Sleep(time.Second)
		case status == fasthttp.StatusConflict:
			return errMoved
		default:
			return errors.New(p.Error)
		}
	}
}

// Ledger reads all that was used, page by page. Where pages are folded while it reads,
// it begins anew.
func (c *Client) Ledger(q url.Values) ([]Row, error) {
	for range tries {
		var rows []Row
		cursor := ""
		for {
			if cursor != "" {
				q.Set("cursor", cursor)
			} else {
				q.Del("cursor")
			}
			var p Rows
			err := c.get(LedgerPath, q, &p)
			if errors.Is(err, errMoved) {
				break
			}
			if err != nil {
				return nil, err
			}
			rows = append(rows, p.Rows...)
			if cursor = p.Next; cursor == "" {
				return rows, nil
			}
		}
	}
	return nil, errMoved
}

// Explain has the leader say why a job's tasks wait.
func (c *Client) Explain(id string) (*reconciler.Explanation, error) {
	e := &reconciler.Explanation{}
	return e, c.get(JobsPath+id+explainEnd, nil, e)
}

// Member tells where the controller stands in the election.
func (c *Client) Member() (*Member, error) {
	m := &Member{}
	return m, c.get(MemberPath, nil, m)
}

// Verify checks all teams' pages.
func (c *Client) Verify() ([]Verified, error) {
	var out []Verified
	q := url.Values{}
	for {
		var v Verified
		if err := c.get(VerifyPath, q, &v); err != nil {
			return out, err
		}
		if v.Team != "" {
			out = append(out, v)
		}
		if v.Next == "" {
			return out, nil
		}
		q.Set("cursor", v.Next)
	}
}

// Stretches lists what is not accounted.
func (c *Client) Stretches() ([]Stretch, error) {
	var out []Stretch
	q := url.Values{}
	for {
		var p Stretches
		if err := c.get(StretchesPath, q, &p); err != nil {
			return out, err
		}
		out = append(out, p.Stretches...)
		if p.Next == "" {
			return out, nil
		}
		q.Set("cursor", p.Next)
	}
}

// Shares tells the teams' standings.
func (c *Client) Shares() (*Shares, error) {
	s := &Shares{}
	return s, c.get(SharesPath, nil, s)
}
