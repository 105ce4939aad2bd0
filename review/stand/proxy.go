package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target. While it is cut, connections are accepted by the kernel or stay open, and
// what is sent on them is held; it is delivered in order when the cut ends.
type proxy struct {
	addr   string
	target string
	mu     sync.Mutex
	cut    bool
	open   chan struct{} // closed while the proxy is not cut
	delay  time.Duration // added to each piece that is forwarded
}

func newProxy(target string) *proxy { return newProxyAt(host+":0", target) }

func newProxyAt(addr, target string) *proxy {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	p := &proxy{addr: l.Addr().String(), target: target, open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.open = make(chan struct{})
	} else {
		close(p.open)
	}
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *proxy) pass() {
	p.mu.Lock()
	open, delay := p.open, p.delay
	p.mu.Unlock()
	<-open
	time.Sleep(delay)
}

func (p *proxy) forward(a net.Conn) {
	p.pass()
	b, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = a.Close()
		return
	}
	pipe := func(from, to net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			p.pass()
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pipe(a, b)
	go pipe(b, a)
}
