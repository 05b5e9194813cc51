package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/core/detour"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/wire"
)

// DialerConfig holds the dependencies of a Dialer.
type DialerConfig struct {
	Direct  replica.DialFunc
	Paths   *Paths
	Streams peer.StreamOpener
	// OnReply is called for each answer of a peer. It must not block.
	OnReply func(peer string, r detour.Result)
}

// Dialer connects to replicas, directly or through peers. It is safe for concurrent use.
type Dialer struct{ cfg DialerConfig }

// NewDialer returns a dialer.
func NewDialer(cfg DialerConfig) *Dialer { return &Dialer{cfg: cfg} }

// way is the outcome of one way of an attempt; peer is "" for the direct one.
type way struct {
	peer string
	conn net.Conn
	err  error
}

// Dial implements replica.DialFunc. Its errors are *httpbody.DialError.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var a *detour.Attempt
	d.cfg.Paths.update(func(now time.Time, t *detour.Table) { a = t.Begin(now, address) })
	outcomes := make(chan way)
	var directErr error
	for {
		step := d.cfg.Paths.next(a)
		switch {
		case step.Done:
			for _, name := range step.Unanswered {
				d.cfg.OnReply(name, detour.NoAnswer)
			}
			return nil, d.failure(a, directErr)
		case step.Direct:
			go d.direct(ctx, address, outcomes)
			continue
		case step.Peer != "":
			go d.through(ctx, a, step, outcomes)
			continue
		}
		w, ok := receive(ctx, outcomes, step.Wait)
		switch {
		case ctx.Err() != nil && w.conn == nil:
			return nil, &httpbody.DialError{Err: ctx.Err()}
		case !ok:
		case w.conn != nil:
			return w.conn, nil
		case w.peer == "":
			directErr = w.err
			a.DirectFailed()
		default:
			a.PeerFailed(w.peer)
		}
	}
}

// receive waits for an outcome, until the time is over or ctx ends.
func receive(ctx context.Context, outcomes <-chan way, wait time.Duration) (w way, ok bool) {
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case w = <-outcomes:
		return w, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return w, false
}

// deliver passes an outcome on, or closes its connection if the attempt has ended.
func deliver(ctx context.Context, outcomes chan<- way, w way) {
	select {
	case outcomes <- w:
	case <-ctx.Done():
		if w.conn != nil {
			_ = w.conn.Close() // nothing was sent
		}
	}
}

// direct connects directly. It goes on when the attempt has ended, since its result tells a
// slow path from one that does not work.
func (d *Dialer) direct(ctx context.Context, address string, outcomes chan<- way) {
	conn, err := d.cfg.Paths.dialDirect(context.WithoutCancel(ctx), d.cfg.Direct, address)
	deliver(ctx, outcomes, way{conn: conn, err: err})
}

// through connects through the peer of a step.
func (d *Dialer) through(ctx context.Context, a *detour.Attempt, step detour.Step, outcomes chan<- way) {
	callCtx, cancel := clock.WithTimeout(ctx, step.Limit)
	defer cancel()
	conn, r := d.ask(callCtx, step.Peer, a.Address, step.Limit)
	if conn != nil || ctx.Err() == nil {
		counts := false
		d.cfg.Paths.update(func(now time.Time, t *detour.Table) { counts = t.Replied(now, a, step.Peer, r) })
		if counts {
			d.cfg.OnReply(step.Peer, r.Result)
		}
	}
	w := way{peer: step.Peer}
	if conn != nil {
		w.conn = &Conn{Conn: conn, peer: step.Peer}
	}
	deliver(ctx, outcomes, w)
}

// ask asks a peer to connect.
func (d *Dialer) ask(ctx context.Context, name, address string, limit time.Duration) (net.Conn, detour.Reply) {
	reply := &wire.TunnelReply{}
	conn, err := d.cfg.Streams.OpenStream(ctx, name, methodConnect, &wire.TunnelRequest{Address: address, TimeoutMs: uint32(limit.Milliseconds())}, reply)
	switch {
	case errors.Is(err, peer.ErrUnknownMethod):
		return nil, detour.Reply{Result: detour.Unsupported}
	case errors.Is(err, peer.ErrTimeout):
		return nil, detour.Reply{Result: detour.NoAnswer}
	case err != nil:
		return nil, detour.Reply{Result: detour.Unavailable}
	}
	r := detour.Reply{Result: resultFromWire(reply.GetResult()), Room: int(reply.GetRoom()), Hints: reply.GetHints()}
	if r.Result != detour.Connected {
		_ = conn.Close() // the peer has closed it, too
		return nil, r
	}
	return conn, r
}

// Refresh probes the ways that are due. It is to be called every few hundred milliseconds.
func (d *Dialer) Refresh(ctx context.Context) {
	p := d.cfg.Paths
	var due detour.Due
	p.update(func(now time.Time, t *detour.Table) {
		due = t.Refresh(now, p.cfg.Count(), p.cfg.IsReplica, p.cfg.Sample)
	})
	for _, address := range due.Probes {
		go p.probe(ctx, d.cfg.Direct, address)
	}
	if due.Ask != "" {
		go func() {
			if conn, err := d.Dial(ctx, due.Ask); err == nil {
				_ = conn.Close() // nothing was sent
			}
		}()
	}
}

// failure returns the error of a failed attempt. What peers that reach other replicas say
// counts for more than what this host found.
func (d *Dialer) failure(a *detour.Attempt, direct error) error {
	var verdict detour.Result
	var confirmed bool
	var answers []detour.Answer
	var reachedAt time.Time
	d.cfg.Paths.update(func(now time.Time, t *detour.Table) {
		verdict, confirmed = t.Verdict(now, a)
		answers, reachedAt = a.Answers(), t.DirectAt()
	})
	var dial *httpbody.DialError
	err := direct
	switch {
	case verdict == detour.ReplicaRefused:
		err = syscall.ECONNREFUSED
	case verdict == detour.ReplicaUnreachable, direct == nil:
		err = context.DeadlineExceeded
	case errors.As(direct, &dial):
		err = dial.Err
	}
	return &httpbody.DialError{
		Err: fmt.Errorf("%w; peers asked: %s", err, describe(answers)), Unconfirmed: !confirmed,
		PeerRefusals: refusals(answers), OwnRefused: errors.Is(direct, syscall.ECONNREFUSED), ReachedAt: reachedAt,
	}
}

// refusals returns the number of peers that reach replicas and were refused.
func refusals(answers []detour.Answer) int {
	n := 0
	for _, a := range answers {
		if a.Result == detour.ReplicaRefused {
			n++
		}
	}
	return n
}

// describe lists what peers answered, for logs.
func describe(answers []detour.Answer) string {
	if len(answers) == 0 {
		return "none"
	}
	var out []string
	for _, a := range answers {
		out = append(out, fmt.Sprintf("%s (%s)", a.Peer, a.Result))
	}
	return strings.Join(out, ", ")
}

// isPathFailure reports whether an error of a direct attempt is evidence on the path: the
// connection timed out, was refused, or had no route.
func isPathFailure(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
