package daemon

import (
	"context"
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/caller"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Serve implements caller.Backend.
func (d *Daemon) Serve(ctx context.Context, sub caller.Submission, sink caller.Sink) (*request.Answer, *problem.Error) {
	s := newSession(sub, digestOf(sub), d.upstream.Load())
	if e := d.quarantined(ctx, s); e != nil {
		d.RecordRefusal(sub.RequestID, e)
		return nil, e
	}
	defer d.returnTrial(s)
	d.sessions.insert(s)
	log := d.records.GetOrCreate(sub.RequestID)
	log.Add(receivedEntry(sub))
	spec := specOf(sub)
	spec.StoredResults = d.resume(s)
	m := request.New(spec, d.deps, log)
	d.table.Insert(m)
	d.deliver(s, request.Start{})
	f := d.await(ctx, s, sink)
	close(s.closed)
	s.stopTimers()
	d.sessions.remove(s.id)
	d.logEnd(s, f)
	return f.answer, f.err
}

// receivedEntry says what a request is and under which bundle it is served.
func receivedEntry(sub caller.Submission) record.Entry {
	return record.Entry{At: sub.Arrived, Step: stepReceive, Outcome: "accepted", Fields: []record.Field{
		{Key: "bundle", Value: strconv.FormatUint(sub.Bundle.Version, 10)},
		{Key: "customer", Value: sub.Customer.Name},
		{Key: "pipeline", Value: sub.Pipeline.Name},
		{Key: "deadline", Value: sub.Deadline.Sub(sub.Arrived).String()},
		{Key: "key", Value: sub.IdempotencyKey},
		{Key: "stream", Value: strconv.FormatBool(sub.Stream)},
	}}
}

func specOf(sub caller.Submission) request.Spec {
	spec := request.Spec{
		ID: sub.RequestID, Customer: sub.Customer.Name, Bundle: sub.Bundle, Pipeline: sub.Pipeline,
		Arrived: sub.Arrived, Deadline: sub.Deadline, Key: sub.IdempotencyKey, Stream: sub.Stream, Input: sub.Input,
	}
	if sub.Prefix != "" {
		spec.Prefix = xxhash.Sum64String(sub.Prefix)
	}
	return spec
}

// digestOf identifies what a request asks for: the same key must not be used
// for anything else.
func digestOf(sub caller.Submission) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(sub.Pipeline.Name), []byte(sub.Prefix), sub.Input} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return [32]byte(h.Sum(nil))
}

// await passes the stream on until the request has its end.
func (d *Daemon) await(ctx context.Context, s *session, sink caller.Sink) finalAnswer {
	gone := ctx.Done()
	for {
		select {
		case part := <-s.output:
			writePart(sink, part)
			// What has come meanwhile goes out in the same packet.
			drainOutput(s, sink)
			sink.Flush()
		case f := <-s.final:
			drainOutput(s, sink)
			return f
		case <-gone:
			gone = nil
			d.deliver(s, request.CallerGone{})
		}
	}
}

// drainOutput writes the parts that wait, at most one queue full.
func drainOutput(s *session, sink caller.Sink) {
	for range outputQueue {
		select {
		case part := <-s.output:
			writePart(sink, part)
		default:
			return
		}
	}
}

func writePart(sink caller.Sink, part outputPart) {
	if part.reset {
		sink.Reset()
		return
	}
	sink.Token(part.text)
}

func (d *Daemon) logEnd(s *session, f finalAnswer) {
	took := d.Now().Sub(s.sub.Arrived).Round(time.Microsecond)
	d.countRequest(s.sub.Customer.Name, s.sub.Pipeline.Name, f.err, took)
	fields := []zap.Field{
		logging.Request(s.id), zap.String("customer", s.sub.Customer.Name),
		zap.String("pipeline", s.sub.Pipeline.Name), zap.Duration("took", took),
	}
	if f.err != nil {
		fields = append(fields, zap.String("kind", string(f.err.Kind)),
			zap.String("execution", string(f.err.Execution)), zap.String("detail", f.err.Detail))
		d.log.Info("refused", fields...)
		return
	}
	d.log.Info("answered", fields...)
}
