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

// Client sends requests to a controller's operators' interface. It must not be used
// concurrently.
type Client struct {
	Addr       string
	Token      []byte
	Dial       fasthttp.DialFunc // nil: the network's
	httpClient fasthttp.Client
}

const (
	maxAttempts   = 5
	retryPause    = time.Second
	clientTimeout = 3 * requestTimeout // of one attempt
)

// ResponseError is a response of a controller whose status is not 200.
type ResponseError struct {
	Status  int    // of HTTP
	Message string // of the controller
}

// Error returns the controller's message.
func (e *ResponseError) Error() string { return e.Message }

// get sends one request and decodes the response into body. While the controller asks
// to retry, it does, up to maxAttempts times.
func (c *Client) get(path string, query url.Values, body any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.Addr + path + "?" + query.Encode())
	request.Header.Set("Authorization", "Bearer "+string(c.Token))
	c.httpClient.Dial = c.Dial
	for attempt := 1; ; attempt++ {
		if err := c.httpClient.DoTimeout(request, response, clientTimeout); err != nil {
			return fmt.Errorf("%s: %w", c.Addr, err)
		}
		switch status := response.StatusCode(); {
		case status == fasthttp.StatusOK:
			return json.Unmarshal(response.Body(), body)
		case status == fasthttp.StatusServiceUnavailable && attempt < maxAttempts:
			time.Sleep(retryPause)
		case status == fasthttp.StatusConflict:
			return errSegmentsFolded
		default:
			return responseError(response)
		}
	}
}

func responseError(response *fasthttp.Response) error {
	var body ErrorResponse
	if json.Unmarshal(response.Body(), &body) != nil || body.Error == "" {
		body.Error = strconv.Itoa(response.StatusCode())
	}
	return &ResponseError{Status: response.StatusCode(), Message: body.Error}
}

// Ledger returns all entries that match a query. If segments are folded while it reads,
// it starts over.
func (c *Client) Ledger(query url.Values) ([]Entry, error) {
	for range maxAttempts {
		entries, err := c.ledgerOnce(query)
		if !errors.Is(err, errSegmentsFolded) {
			return entries, err
		}
	}
	return nil, errSegmentsFolded
}

func (c *Client) ledgerOnce(query url.Values) ([]Entry, error) {
	var entries []Entry
	query.Del(cursorParameter)
	for {
		var page Entries
		if err := c.get(LedgerPath, query, &page); err != nil {
			return nil, err
		}
		entries = append(entries, page.Entries...)
		if page.NextCursor == "" {
			return entries, nil
		}
		query.Set(cursorParameter, page.NextCursor)
	}
}

// Explain returns why the leader starts no tasks of a job.
func (c *Client) Explain(id string) (*reconciler.Explanation, error) {
	explanation := &reconciler.Explanation{}
	return explanation, c.get(JobsPath+id+explainSuffix, nil, explanation)
}

// MemberStatus returns the controller's status.
func (c *Client) MemberStatus() (*MemberStatus, error) {
	status := &MemberStatus{}
	return status, c.get(MemberPath, nil, status)
}

// Verify verifies the segments of all teams.
func (c *Client) Verify() ([]Verification, error) {
	var verifications []Verification
	query := url.Values{}
	for {
		var verification Verification
		if err := c.get(VerifyPath, query, &verification); err != nil {
			return verifications, err
		}
		if verification.Team != "" {
			verifications = append(verifications, verification)
		}
		if verification.NextCursor == "" {
			return verifications, nil
		}
		query.Set(cursorParameter, verification.NextCursor)
	}
}

// Intervals returns all intervals that no leader accounted for.
func (c *Client) Intervals() ([]Interval, error) {
	var intervals []Interval
	query := url.Values{}
	for {
		var page Intervals
		if err := c.get(IntervalsPath, query, &page); err != nil {
			return intervals, err
		}
		intervals = append(intervals, page.Intervals...)
		if page.NextCursor == "" {
			return intervals, nil
		}
		query.Set(cursorParameter, page.NextCursor)
	}
}

// FairShares returns the positions of all teams by fair share.
func (c *Client) FairShares() (*FairShares, error) {
	shares := &FairShares{}
	return shares, c.get(FairSharesPath, nil, shares)
}
