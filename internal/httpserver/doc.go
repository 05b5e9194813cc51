// Package httpserver builds the HTTP servers of all programs, so that no client can make one of
// their processes run out of memory or descriptors.
//
// A Server bounds, with the rules of core/connections, how many connections are open and what the
// heads of requests cost; how long a head is and takes; how long a connection is idle; how long a
// client may leave an answer unread; and how many bytes the kernel holds that the process has not
// read. net/http has limits for a single connection only, and fixed ones; Limits may change while
// a Server runs.
//
// # How it follows net/http
//
// Each accepted connection counts what net/http reads from it. Until the handler is called, what is
// read is the head of a request (and up to bufferBytes of what follows it). Once net/http reports
// the connection idle, the next bytes begin another head. A client that sends requests ahead may
// have part of the next head in net/http's buffer by then: net/http sets a read deadline once more
// when it finds it there, and the bytes that were read last are then counted again, as a head.
package httpserver
