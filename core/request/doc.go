// Package request is the state machine of one request: it takes the request
// through the stages of its pipeline under one deadline, with slots, claims,
// retries, hedges and cancellation.
//
// # Contract
//
// A Machine does no I/O, reads no clock and starts no goroutine. The caller
// passes the time and one Event at a time to Step and carries out the Actions
// that Step returns, in order. Step is not safe for concurrent use; Table keeps
// machines in shards, each under its own lock, and may be used by any number of
// goroutines.
//
// Every Call action must be answered by exactly one CallEnded event with the
// same attempt number, also when the call was cancelled. An event for an
// attempt that is unknown or over is dropped and counted. Exactly one Finish
// action is returned for a request; a machine whose Finished and Idle are both
// true takes no further events and may be forgotten.
//
// # What it guarantees
//
// A non-repeatable stage is sent only after a Claim action was answered with
// Won, and is sent again only if the upstream is known not to have executed the
// earlier call. Its result is recorded by a Record action before the request
// finishes. A finished request whose Execution is problem.NotRun has sent no
// call that may have been executed.
package request
