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

// Client sends requests to the operators' interface of one controller. Its methods return a *ResponseError if the
// controller rejects a request. It is not safe for concurrent use.
type Client struct {
	Addr  string // address of the interface (host:port)
	Token []byte // bearer token

	// Dial connects to Addr. If it is nil, the client connects over TCP.
	Dial       fasthttp.DialFunc
	httpClient fasthttp.Client
}

const (
	// maxAttempts bounds the attempts of one request, and how often the ledger is read from its beginning.
	maxAttempts = 5
	retryDelay  = time.Second

	// attemptTimeout bounds one attempt. It includes the requestTimeout of the server.
	attemptTimeout = 3 * requestTimeout
)

// ResponseError reports a response with a status other than 200.
type ResponseError struct {
	Status  int    // HTTP status code
	Message string // error message in the response, or the status code if there is none
}

// Error returns the message.
func (e *ResponseError) Error() string { return e.Message }

// get sends a GET request and decodes the response into result, which must be a pointer. It retries a request that
// the controller answers with 503 Service Unavailable, up to maxAttempts attempts in all. For 409 Conflict it
// returns errSegmentsCompacted.
func (c *Client) get(path string, query url.Values, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.Addr + path + "?" + query.Encode())
	request.Header.Set("Authorization", "Bearer "+string(c.Token))
	c.httpClient.Dial = c.Dial
	for attempt := 1; ; attempt++ {
		if err := c.httpClient.DoTimeout(request, response, attemptTimeout); err != nil {
			return fmt.Errorf("%s: %w", c.Addr, err)
		}
		switch status := response.StatusCode(); {
		case status == fasthttp.StatusOK:
			return json.Unmarshal(response.Body(), result)
		case status == fasthttp.StatusServiceUnavailable && attempt < maxAttempts:
			time.Sleep(retryDelay)
		case status == fasthttp.StatusConflict:
			return errSegmentsCompacted
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

// Ledger returns all ledger entries that match a query. If segments are compacted while it reads, it starts over, up
// to maxAttempts times. It overwrites the cursor in the query.
func (c *Client) Ledger(query url.Values) ([]Entry, error) {
	for range maxAttempts {
		entries, err := c.readEntries(query)
		if !errors.Is(err, errSegmentsCompacted) {
			return entries, err
		}
	}
	return nil, errSegmentsCompacted
}

// readEntries reads all pages of entries once. It returns errSegmentsCompacted if segments are compacted meanwhile.
func (c *Client) readEntries(query url.Values) ([]Entry, error) {
	var entries []Entry
	query.Del(cursorParameter)
	for {
		var page EntryPage
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

// Explain returns an explanation of why tasks of a job are waiting, and why its running tasks are on their machines.
func (c *Client) Explain(id string) (*reconciler.Explanation, error) {
	explanation := &reconciler.Explanation{}
	return explanation, c.get(JobsPath+id+explainSuffix, nil, explanation)
}

// MemberStatus returns the status of the controller.
func (c *Client) MemberStatus() (*MemberStatus, error) {
	status := &MemberStatus{}
	return status, c.get(MemberPath, nil, status)
}

// Verify has the controller verify the closed ledger segments of all teams, and returns one result per team. After an
// error it also returns the results that it has received so far.
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

// UnaccountedIntervals returns all intervals for which no leader recorded usage. After an error it also returns the
// intervals that it has received so far.
func (c *Client) UnaccountedIntervals() ([]UnaccountedInterval, error) {
	var intervals []UnaccountedInterval
	query := url.Values{}
	for {
		var page IntervalPage
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

// FairShares returns the fair-share standing of all teams.
func (c *Client) FairShares() (*FairShares, error) {
	shares := &FairShares{}
	return shares, c.get(FairSharesPath, nil, shares)
}
