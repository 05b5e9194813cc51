// Package peer carries messages between entry daemons: one yamux session over
// TCP with mutual TLS for each pair of hosts that talk, dialled on demand, and
// one stream per call with one length-delimited wire.Envelope each way.
//
// A Transport is both sides: it calls fellow daemons (Call) and serves the
// methods registered in its Mux. Everything is bounded: message sizes, calls
// in flight and waiting per session, handlers and sessions per transport. A
// peer that does not answer costs its callers no more than their timeouts, and
// nothing at all while the dial backoff lasts.
//
// Releases differ: a receiver ignores unknown fields, and answers a method that
// it does not know with ErrUnknownMethod.
package peer
