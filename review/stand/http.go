package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// serve serves a handler on a free loopback port and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func readBody(r *http.Request) []byte {
	b, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return b
}

// client sends requests that are not retried by the library.
var client = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends one request. The status is 0 if there was no answer in time.
func call(method, url string, v any, wait time.Duration) (status int, answer map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var body io.Reader
	if b, ok := v.([]byte); ok {
		body = bytes.NewReader(b)
	} else if v != nil {
		body = bytes.NewReader(enc(v))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil
	}
	req.GetBody = nil // so that the library repeats nothing
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	answer, _ = dec(b)
	return resp.StatusCode, answer
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &recorder{f: f, start: time.Now()}
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host is the loopback address of this run. It has one of its own, so that no port that it finds free is taken by
// another run or by an outgoing connection before a controller listens on it.
var host = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255)
