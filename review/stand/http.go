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

// host and controllerHost are the loopback addresses of this run. It has its own, so that runs at the same time do not
// take each other's ports.
var host, controllerHost = loopback(64), loopback(128)

func loopback(first int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", first+pid>>14&63, 1+pid>>7&127, 1+pid&127)
}
