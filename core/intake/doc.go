// Package intake keeps account of what replicas say of themselves in their answers:
// how many requests they take.
//
// # Contract
//
// Nothing here reads a clock or does I/O; the caller passes the time. An Account is
// not safe for concurrent use. It is told of answers only that come from the replica
// that was asked: one that has taken over an address, or an answer to another request,
// says nothing of it.
package intake
