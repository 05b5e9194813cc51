package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const methodUnknown = "unknown"

// role is the side of a call on which bytes are counted.
type role string

const (
	roleCaller role = "caller"
	roleServer role = "server"
)

// counters holds a transport's metrics. The series per method are cached, since looking
// them up by name costs more than incrementing them.
type counters struct {
	set                *metrics.Set
	series             sync.Map // seriesKey -> *metrics.Counter
	durations          sync.Map // method -> *metrics.Histogram
	wireSent           *metrics.Counter
	wireReceived       *metrics.Counter
	dialOK             *metrics.Counter
	dialFailed         *metrics.Counter
	refusedConnections *metrics.Counter
	silentSessions     *metrics.Counter
	panics             *metrics.Counter
}

type seriesKey struct{ name, method, labelValue string }

func newCounters(set *metrics.Set, sessions func() float64) *counters {
	set.GetOrCreateGauge("wheatseam_peer_sessions", sessions)
	return &counters{
		set:                set,
		wireSent:           set.GetOrCreateCounter(`wheatseam_peer_wire_bytes_total{direction="sent"}`),
		wireReceived:       set.GetOrCreateCounter(`wheatseam_peer_wire_bytes_total{direction="received"}`),
		dialOK:             set.GetOrCreateCounter(`wheatseam_peer_dials_total{result="ok"}`),
		dialFailed:         set.GetOrCreateCounter(`wheatseam_peer_dials_total{result="failed"}`),
		refusedConnections: set.GetOrCreateCounter("wheatseam_peer_refused_connections_total"),
		silentSessions:     set.GetOrCreateCounter("wheatseam_peer_silent_sessions_total"),
		panics:             set.GetOrCreateCounter("wheatseam_peer_handler_panics_total"),
	}
}

// counter returns the series name{method=...,labelName=labelValue}.
func (c *counters) counter(name, method, labelName, labelValue string) *metrics.Counter {
	key := seriesKey{name, method, labelValue}
	if v, ok := c.series.Load(key); ok {
		return v.(*metrics.Counter)
	}
	v := c.set.GetOrCreateCounter(fmt.Sprintf("%s{method=%q,%s=%q}", name, method, labelName, labelValue))
	c.series.Store(key, v)
	return v
}

func (c *counters) countDial(err error) {
	if err != nil {
		c.dialFailed.Inc()
		return
	}
	c.dialOK.Inc()
}

func (c *counters) countCall(method string, err error, took time.Duration) {
	c.counter("wheatseam_peer_calls_total", method, "result", resultOf(err)).Inc()
	v, ok := c.durations.Load(method)
	if !ok {
		v = c.set.GetOrCreateHistogram(fmt.Sprintf("wheatseam_peer_call_seconds{method=%q}", method))
		c.durations.Store(method, v)
	}
	v.(*metrics.Histogram).Update(took.Seconds())
}

func (c *counters) countServed(method string, err error) {
	c.counter("wheatseam_peer_served_total", method, "result", resultOf(err)).Inc()
}

// countSent counts the bytes of an envelope, excluding the overhead of yamux and TLS.
func (c *counters) countSent(method string, r role, n int) {
	c.counter("wheatseam_peer_sent_bytes_total", method, "role", string(r)).Add(n)
}

func (c *counters) countReceived(method string, r role, n int) {
	c.counter("wheatseam_peer_received_bytes_total", method, "role", string(r)).Add(n)
}

// resultOf returns the value of the result label. The set of values is fixed.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrTimeout):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, ErrUnreachable):
		return "unreachable"
	case codeOf(err) != "":
		return codeOf(err)
	default:
		return "error"
	}
}
