package golden

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// RequestLog is an HTTP server that records the requests that it receives. It is safe for concurrent use.
type RequestLog struct {
	Addr string // address of the server (host:port)

	mu    sync.Mutex // guards lines
	lines strings.Builder
}

// LogRequests starts a RequestLog that answers requests with the handler respond. The server stops when the
// test ends.
func LogRequests(t *testing.T, respond http.HandlerFunc) *RequestLog {
	t.Helper()
	log := &RequestLog{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		log.add(fmt.Sprintf("%s %s %q %x\n", r.Method, r.RequestURI, r.Header.Get("Content-Type"), body))
		respond(w, r)
	}))
	t.Cleanup(server.Close)
	log.Addr = server.Listener.Addr().String()
	return log
}

func (l *RequestLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines.WriteString(line)
}

// Bytes returns the recorded requests in the order of their arrival, each on one line: method, URI, quoted content
// type and body in hexadecimal digits.
func (l *RequestLog) Bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []byte(l.lines.String())
}
