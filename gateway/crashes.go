package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/quarantine"
	"github.com/wheatseam/wheatseam/replica"
)

// crashes tells replicas that ended from connections that broke, and which
// requests each took along. It is safe for concurrent use.
type crashes struct {
	replicas *replica.Client
	log      *zap.Logger
	metrics  *metrics.Set

	mu sync.Mutex
	// open holds what broke off at replicas that are being looked at, by replica.
	open map[string]*crash
}

// crash is the end of a replica, known or suspected.
type crash struct {
	service, replica, address string
	at                        time.Time
	suspects                  []quarantine.Suspect
}

// gatherFor is how long attempts that break off at a replica are gathered before
// it is asked whether it lives: all its connections end within a millisecond or
// two, and its port is closed by then.
const gatherFor = 10 * time.Millisecond

// brokeOff takes an attempt that a replica broke off. Others that break off there
// meanwhile are looked at together.
func (c *crashes) brokeOff(t *try) {
	now := time.Now()
	s := quarantine.Suspect{Request: t.x.content, Ran: now.Sub(t.began)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.open[t.choice.Upstream]; known != nil {
		known.suspects = append(known.suspects, s)
		return
	}
	end := &crash{service: t.x.service, replica: t.choice.Upstream, address: t.choice.Address, at: now, suspects: []quarantine.Suspect{s}}
	c.open[end.replica] = end
	time.AfterFunc(gatherFor, func() { c.look(end) })
}

// look asks whether a replica has ended. Connections break for other reasons too:
// a replica that breaks answers off, or a network that resets, leaves its port
// open; and a machine that is gone says nothing at all.
func (c *crashes) look(end *crash) {
	refused, err := c.replicas.Refused(context.Background(), end.address)
	c.mu.Lock()
	delete(c.open, end.replica)
	c.mu.Unlock()
	switch {
	case err != nil:
		c.log.Info("not known whether a replica ended", zap.String("replica", end.replica), zap.Error(err))
	case refused:
		c.ended(end)
	}
}

// ended takes a replica that has ended.
func (c *crashes) ended(end *crash) {
	c.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_ended_total{service=%q}", end.service)).Inc()
	contents, ran := make([]string, 0, len(end.suspects)), make([]time.Duration, 0, len(end.suspects))
	for _, s := range end.suspects {
		contents, ran = append(contents, s.Request.String()), append(ran, s.Ran)
	}
	c.log.Warn("replica ended under requests", zap.String("service", end.service), zap.String("replica", end.replica),
		zap.Strings("contents", contents), zap.Durations("ran", ran))
}
