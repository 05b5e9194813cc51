// Package request implements the state machine of one request. It runs the
// request through the stages of its pipeline under one deadline and handles
// slots, claims, retries, hedges and cancellation.
//
// # Contract
//
// A Machine does no I/O, reads no clock and starts no goroutine. The caller
// passes the current time and one Event at a time to Step and carries out the
// Actions that Step returns, in order. Step is not safe for concurrent use.
// Table holds machines in shards, each under its own lock, and is safe for
// concurrent use.
//
// Every Call action must be answered by exactly one CallEnded event with the
// same attempt number, even if the call was cancelled. An event for an unknown
// or ended attempt is dropped and counted. Step returns exactly one Finish
// action for each request. A machine whose Finished and Idle are both true needs
// no further events and may be discarded.
//
// # Guarantees
//
// A non-repeatable stage is sent only after an AcquireClaim action was answered with
// Won. It is sent again only if the upstream is known not to have executed the
// earlier call. Its result is recorded by a RecordResult action before the request
// finishes. If a request finishes with an Execution of problem.NotRun, none of
// the calls it sent can have been executed.
package request
