// Package peer implements RPC between the daemons of the entry hosts. Each pair of
// communicating hosts shares one yamux session over TCP with mutual TLS, which is
// dialled on demand. Each call uses one stream and sends one length-delimited
// wire.Envelope in each direction.
//
// A Transport is both client and server: it calls other daemons (Call) and serves the
// methods registered in its Mux. All resources are bounded: message sizes, calls in
// flight and waiting calls per session, handlers and sessions per transport. A peer
// that does not answer costs its callers no more than their timeouts; during the dial
// backoff calls to it fail at once.
//
// Peers may run different releases: a receiver ignores unknown fields and answers an
// unknown method with ErrUnknownMethod.
package peer
