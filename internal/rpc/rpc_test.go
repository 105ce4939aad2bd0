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
		_, _ = w.Write([]byte("taken")) // the check below shows if it is missing
	}))
	defer s.Close()
	_, err := New(s.Listener.Addr().String(), 1, nil).Call(http.MethodGet, "/", nil, 5*time.Second)
	var status *StatusError
	if !errors.As(err, &status) || string(status.Body) != "taken" {
		t.Errorf("got %v, want a StatusError with the body %q", err, "taken")
	}
	if got := StatusCode(err); got != http.StatusConflict {
		t.Errorf("got the status %d, want %d", got, http.StatusConflict)
	}
	if errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want an error other than ErrNotSent", err)
	}
}

func TestCallReturnsErrNotSentWithoutConnection(t *testing.T) {
	errRefused := errors.New("no connection allowed")
	wrap := func(DialFunc) DialFunc {
		return func(string) (net.Conn, error) { return nil, errRefused }
	}
	_, err := New("127.0.0.1:1", 1, wrap).Call(http.MethodGet, "/", nil, 5*time.Second)
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, errRefused) {
		t.Errorf("got %v, want %v because of %v", err, ErrNotSent, errRefused)
	}
	if got := StatusCode(err); got != 0 {
		t.Errorf("got the status %d, want 0", got)
	}
}

func TestCallTimeoutIsNotErrNotSent(t *testing.T) {
	done := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer s.Close()
	defer close(done)
	_, err := New(s.Listener.Addr().String(), 1, nil).Call(http.MethodGet, "/", nil, 50*time.Millisecond)
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want an error other than ErrNotSent: the request may still be executed", err)
	}
}
