package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// caller sends requests one after the other, on kept connections, until ctx
// ends; it uses a connection until the process at its other end is gone.
func (r *Run) caller(ctx context.Context, rng *rand.Rand, number int) {
	transport := &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 2,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	d := r.daemons[number%len(r.daemons)]
	for n := 0; ctx.Err() == nil; n++ {
		if rng.IntN(20) == 0 {
			d = r.daemons[rng.IntN(len(r.daemons))]
		}
		c := r.draw(rng, fmt.Sprintf("%d-%d-%d", r.cfg.Seed, number, n))
		r.send(client, rng, d, c)
		time.Sleep(time.Duration(5+rng.IntN(30)) * time.Millisecond)
	}
}

// forgeOneIn is the number of requests of which one carries a header that its
// caller may not set.
const forgeOneIn = 10

// draw draws a request.
func (r *Run) draw(rng *rand.Rand, id string) site.Call {
	c := site.Call{ID: id, Deadline: callDeadline, Key: r.drawKey(rng)}
	c.Path = []string{site.UnsafePath, site.UnsafePath, site.SafePath, site.StreamPath, site.ResumablePath, site.ResumablePath}[rng.IntN(6)]
	if rng.IntN(forgeOneIn) == 0 {
		c.ForgedHeader = site.ForgeableHeaders[rng.IntN(len(site.ForgeableHeaders))]
	}
	if c.Path == site.ResumablePath {
		c.PieceCounts = []int{1 + rng.IntN(3), 1 + rng.IntN(4)}
	}
	return c
}

func (r *Run) drawKey(rng *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[rng.IntN(len(r.keys))]
}

// send sends one request; some callers leave early.
func (r *Run) send(client *http.Client, rng *rand.Rand, d *daemon, c site.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline+2*time.Second)
	defer cancel()
	left := rng.IntN(25) == 0
	if left {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(5+rng.IntN(100))*time.Millisecond)
		defer cancel()
	}
	x := done{call: c, daemon: d, life: d.lives(), began: time.Now()}
	x.heard = site.Send(ctx, client, d.callers(), c)
	x.ended = time.Now()
	x.left = left && ctx.Err() != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, x)
}
