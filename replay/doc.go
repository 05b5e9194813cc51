// Package replay sends the requests of a recorded trace to a running fleet and
// records the outcome of each call as its caller observed it.
//
// The load is open-loop: every request is sent at its offset in the trace,
// regardless of the outcome of earlier requests, so that a slow system does not
// reduce its own load. Latency is measured from the offset and not from the time of
// sending, so that a delay in the sender is visible as latency. Each request is sent
// to a host chosen by a seeded random generator, which simulates a load balancer; a
// caller's retry is sent to another host.
//
// A request is one operation that a caller requests. Each submission of it, the
// first one or a retry, is a try and is recorded as one Call.
//
// Subpackages define the trace format (trace), generate traces (scenario), read the
// execution ledgers of the stand-ins, which simulate the upstreams (ledger), find
// violations of correctness (audit), calculate metrics (report), evaluate them
// against stated outcomes (verdict) and compare runs (compare). Package fleetfiles
// writes the files of a local fleet.
package replay
