// Package replay drives a running fleet with a recorded trace and notes what
// each caller heard.
//
// A Run is open-loop: every request is sent at its offset whatever became of
// those before it, so that a slow system does not slow its own load. Latency
// counts from the offset, not from the sending, so that a stalled sender shows
// as latency instead of hiding it. Each request goes to a host drawn by a
// seeded generator, as a balancer would; a caller's retry goes to another host.
//
// The packages below hold the trace format (trace), the programs that make
// traces (scenario), the reading of stand-ins' ledgers (ledger), the search for
// violations (audit), the figures (report) and the judgement (verdict).
package replay
