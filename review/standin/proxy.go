package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a server, and can make the open ones go silent for good.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	mu       sync.Mutex
	silent   bool
	from, to net.Conn
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, open: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		l := &link{from: from, to: to}
		p.mu.Lock()
		p.open[l] = true
		p.mu.Unlock()
		go p.copy(l, l.to, l.from)
		go p.copy(l, l.from, l.to)
	}
}

// copy passes bytes on in one direction. A silent link passes on nothing, also no close.
func (p *proxy) copy(l *link, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		if l.silent {
			l.mu.Unlock()
			return
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		l.mu.Unlock()
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			p.mu.Lock()
			delete(p.open, l)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes all open connections go silent, and returns the number of those that were not.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.mu.Lock()
		if !l.silent {
			l.silent = true
			n++
		}
		l.mu.Unlock()
	}
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		_ = l.from.Close()
		_ = l.to.Close()
	}
}
