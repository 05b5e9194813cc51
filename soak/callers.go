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

// caller sends requests one after the other. It reuses its connections until the daemon process
// at the other end has gone.
type caller struct {
	r      *runner
	client *http.Client
	// rng is the source of the choices that each request needs. kinds is that of the choices which
	// make requests like those of sessions, so that these don't change the others of a seed.
	rng, kinds *rand.Rand
}

// runCaller sends requests until ctx ends.
func (r *runner) runCaller(ctx context.Context, number int) {
	transport := &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 2,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(callerSources+number)))
	client := &http.Client{Transport: transport}
	if r.wrapTransport != nil {
		client.Transport = r.wrapTransport(transport)
	}
	c := &caller{r, client, rng, rand.New(rand.NewPCG(r.cfg.Seed, uint64(kindSources+number)))}
	d := r.daemons[number%len(r.daemons)]
	for n := 0; ctx.Err() == nil; n++ {
		if rng.IntN(20) == 0 {
			d = r.daemons[rng.IntN(len(r.daemons))]
		}
		if favoured := r.favoured.Load(); favoured != nil && favoured != d && rng.Float64() < favouredShare {
			d = favoured
		}
		att := r.send(c.client, rng, d, c.randomCall(fmt.Sprintf("%d-%d-%d", r.cfg.Seed, number, n)))
		c.takeUp(ctx, c.repeat(ctx, att))
		time.Sleep(time.Duration(5+rng.IntN(30)) * time.Millisecond)
	}
}

// Random sources of the callers: the first numbers, to which that of the caller is added.
const (
	callerSources = 100
	kindSources   = 10_000
)

// favouredShare is the share of new connections that go to the favoured daemon.
const favouredShare = 0.9

// skewConnections has most new connections go to one daemon for some seconds at a time, until ctx
// ends.
func (r *runner) skewConnections(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		var favoured *daemon
		if rng.IntN(2) == 0 {
			favoured = r.daemons[rng.IntN(len(r.daemons))]
			r.recordFault("most new connections go to %s", favoured.name)
		}
		r.favoured.Store(favoured)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1000+rng.IntN(2500)) * time.Millisecond):
		}
	}
}

// promptSystem is the part that the prompts of all callers share.
const promptSystem = "system:40"

// forgedHeaderOneIn is the number of requests of which, on average, one carries a header that
// callers may not set.
const forgedHeaderOneIn = 10

// randomCall draws a request.
func (c *caller) randomCall(id string) site.Call {
	call := site.Call{ID: id, Deadline: callDeadline, Key: c.r.randomKey(c.rng)}
	call.Path = []string{site.UnsafePath, site.UnsafePath, site.SafePath, site.StreamPath, site.ResumablePath, site.ResumablePath}[c.rng.IntN(6)]
	if c.rng.IntN(forgedHeaderOneIn) == 0 {
		call.ForgedHeader = site.ForgeableHeaders[c.rng.IntN(len(site.ForgeableHeaders))]
	}
	if call.Resumable() {
		call.PieceCounts = []int{1 + c.rng.IntN(3), 1 + c.rng.IntN(4)}
	}
	// Of the resumable requests, half are short; of the others, half of those in runs with losses.
	if short := c.kinds.IntN(2) == 0; short && (call.Resumable() || c.r.cfg.Losses) {
		call.Path, call.PieceCounts, call.Deadline = site.ShortResumablePath, nil, shortCallDeadline
	}
	if timeout, ok := c.r.timeouts()[call.Path]; ok {
		call.Deadline = timeout
	}
	if call.Streams() {
		call.Prompt = promptSystem + "," + c.lastPart(id)
	}
	return call
}

// lastPart returns the last part of a prompt: that of a random session, or one of the request's
// own.
func (c *caller) lastPart(id string) string {
	if n := c.r.cfg.Sessions; n > 0 {
		return fmt.Sprintf("session-%d:5", c.kinds.IntN(n))
	}
	return fmt.Sprintf("own-%s:5", id)
}

// SessionsOfSeed returns the number of sessions that a seed chooses: in one of four runs none, so
// that each request has a last part of its own, else some for each caller to several callers for
// each.
func SessionsOfSeed(seed uint64, callers int) int {
	rng := rand.New(rand.NewPCG(seed, sessionSource))
	return []int{0, (callers + 1) / 2, callers, 3 * callers}[rng.IntN(4)]
}

// sessionSource is the random source of SessionsOfSeed.
const sessionSource = 18

// repeatOneIn is the number of failed streams of which, on average, one is not taken up: its caller
// sends the prompt again as a new request.
const repeatOneIn = 4

// repeat sends the prompt of a resumable request that failed as a new request, at random, and
// returns the last attempt.
func (c *caller) repeat(ctx context.Context, att attempt) attempt {
	if !att.call.Resumable() || att.complete() || att.abandoned || c.kinds.IntN(repeatOneIn) > 0 {
		return att
	}
	sleep(ctx, randomDuration(c.kinds, 0, maxTakeUpDelay))
	if ctx.Err() != nil {
		return att
	}
	call := att.call
	call.ID += "-repeated"
	return c.r.send(c.client, c.kinds, c.r.daemons[c.kinds.IntN(len(c.r.daemons))], call)
}

func (r *runner) randomKey(rng *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apiKeys[rng.IntN(len(r.apiKeys))]
}

// send sends one request and records the attempt. One request in 25 is abandoned by its
// caller early.
func (r *runner) send(client *http.Client, rng *rand.Rand, d *daemon, c site.Call) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), max(callDeadline, c.Deadline)+2*time.Second)
	defer cancel()
	leavesEarly := rng.IntN(25) == 0
	if leavesEarly {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(5+rng.IntN(100))*time.Millisecond)
		defer cancel()
	}
	att := attempt{call: c, daemon: d, incarnation: d.currentIncarnation(), startedAt: time.Now()}
	att.response = site.Send(ctx, client, d.callerAddress(), c)
	att.endedAt = time.Now()
	att.abandoned = leavesEarly && ctx.Err() != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, att)
	return att
}
