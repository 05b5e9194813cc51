// Package gateway is the daemon that serves on the users' platform. It accepts requests in
// the platform's protocol, runs the stages that a request needs, relays the request to a
// replica of its route's service and returns the signed answer unchanged.
//
// Package platform defines the protocols spoken with callers, replicas and the store. The
// decisions are made in core/catalog (routes), core/stage (stage work), core/route
// (replicas) and core/retry (budgets). This package does the I/O between them.
//
// A request that may not be executed twice is retried only after a replica said that it had
// not executed it, or when no connection could be established.
package gateway
