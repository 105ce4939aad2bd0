package rpc

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestCallReturnsStatusError(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte("taken")) // an incomplete body makes the check below fail
	}))
	defer s.Close()
	_, err := New(s.Listener.Addr().String(), 1, nil).Call(http.MethodGet, "/", nil, 5*time.Second)
	var status *StatusError
	if !errors.As(err, &status) || string(status.Body) != "taken" {
		t.Errorf("got %v, want a StatusError with body %q", err, "taken")
	}
	if got := StatusCode(err); got != http.StatusConflict {
		t.Errorf("got status %d, want %d", got, http.StatusConflict)
	}
	if errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want an error other than ErrNotSent", err)
	}
}

func TestCallReturnsErrNotSentWithoutConnection(t *testing.T) {
	errRefused := errors.New("no connection allowed")
	wrapDial := func(DialFunc) DialFunc {
		return func(string) (net.Conn, error) { return nil, errRefused }
	}
	_, err := New("127.0.0.1:1", 1, wrapDial).Call(http.MethodGet, "/", nil, 5*time.Second)
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, errRefused) {
		t.Errorf("got %v, want %v, caused by %v", err, ErrNotSent, errRefused)
	}
	if got := StatusCode(err); got != 0 {
		t.Errorf("got status %d, want 0", got)
	}
}

func TestCallTimeoutIsNotErrNotSent(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	_, err := New(s.Listener.Addr().String(), 1, nil).Call(http.MethodGet, "/", nil, 50*time.Millisecond)
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want an error other than ErrNotSent: the request may have been executed", err)
	}
}
