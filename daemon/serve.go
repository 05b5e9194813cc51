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
	s := newSession(sub, requestDigest(sub), d.upstreamClients.Load())
	if e := d.checkQuarantine(ctx, s); e != nil {
		d.RecordRefusal(sub.RequestID, e)
		return nil, e
	}
	defer d.returnUnusedTrial(s)
	d.sessions.insert(s)
	log := d.records.GetOrCreate(sub.RequestID)
	log.Add(receiptEntry(sub))
	spec := requestSpec(sub)
	spec.StoredResults = d.fetchStoredResults(s)
	m := request.New(spec, d.decisionDeps, log)
	d.requestTable.Insert(m)
	d.deliver(s, request.Start{})
	f := d.awaitAnswer(ctx, s, sink)
	close(s.done)
	s.stopTimers()
	d.sessions.remove(s.id)
	d.logOutcome(s, f)
	return f.answer, f.err
}

// receiptEntry returns the record entry that describes a request and the bundle under
// which it is served.
func receiptEntry(sub caller.Submission) record.Entry {
	return record.Entry{At: sub.Arrived, Step: stepReceive, Outcome: "accepted", Fields: []record.Field{
		{Key: "bundle", Value: strconv.FormatUint(sub.Bundle.Version, 10)},
		{Key: "customer", Value: sub.Customer.Name},
		{Key: "pipeline", Value: sub.Pipeline.Name},
		{Key: "deadline", Value: sub.Deadline.Sub(sub.Arrived).String()},
		{Key: "key", Value: sub.IdempotencyKey},
		{Key: "stream", Value: strconv.FormatBool(sub.Stream)},
	}}
}

func requestSpec(sub caller.Submission) request.Spec {
	spec := request.Spec{
		ID: sub.RequestID, Customer: sub.Customer.Name, Bundle: sub.Bundle, Pipeline: sub.Pipeline,
		Arrived: sub.Arrived, Deadline: sub.Deadline, Key: sub.IdempotencyKey, Stream: sub.Stream, Input: sub.Input,
	}
	if sub.Prefix != "" {
		spec.Prefix = xxhash.Sum64String(sub.Prefix)
	}
	return spec
}

// requestDigest returns the digest of the request's pipeline, prefix and input. The
// same key must not be used with another digest.
func requestDigest(sub caller.Submission) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(sub.Pipeline.Name), []byte(sub.Prefix), sub.Input} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return [32]byte(h.Sum(nil))
}

// awaitAnswer writes the request's output to the caller until the request has ended,
// and returns its final answer.
func (d *Daemon) awaitAnswer(ctx context.Context, s *session, sink caller.Sink) finalAnswer {
	callerGone := ctx.Done()
	for {
		select {
		case part := <-s.output:
			writeOutput(sink, part)
			// Output that is already queued is flushed along with this part.
			writeQueuedOutput(s, sink)
			sink.Flush()
		case f := <-s.finalAnswers:
			writeQueuedOutput(s, sink)
			return f
		case <-callerGone:
			callerGone = nil
			d.deliver(s, request.CallerGone{})
		}
	}
}

// writeQueuedOutput writes the queued parts, at most as many as the queue holds.
func writeQueuedOutput(s *session, sink caller.Sink) {
	for range maxQueuedOutput {
		select {
		case part := <-s.output:
			writeOutput(sink, part)
		default:
			return
		}
	}
}

func writeOutput(sink caller.Sink, part outputPart) {
	if part.reset {
		sink.Reset()
		return
	}
	sink.Token(part.text)
}

func (d *Daemon) logOutcome(s *session, f finalAnswer) {
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
