// Package stage plans the preparatory stages of requests: which replica makes
// which pieces together, and when.
//
// A call to a replica that runs stages costs much the same whatever it holds,
// so pieces of many requests are made together. A Machine holds the queue of
// the whole fleet, or of its part, for every stage service. One daemon plans
// for the others; what it does not know of a replica (calls and results of an
// earlier planner) it learns from refusals. When a planner is lost, the jobs'
// owners hand them to the next one together with what they were told of their
// progress.
//
// # Contract
//
// A Machine does no I/O, reads no clock and starts no goroutine. The caller
// passes the time and one Event at a time to Step and carries out the returned
// Actions in order. Step is not safe for concurrent use.
//
// Calls are also bounded by Config.Gates, which others of the host share: what is
// decided depends on what these have begun.
//
// Every Run is answered by exactly one CallEnded with the same number. Every
// submitted job ends with exactly one Ready or Refused, unless it is cancelled
// first. After Ready, and after Refused with Held set, the caller reports Cancelled
// once the results have been read or are of no more use. Of shared jobs, whose owners
// may hand them to another planner, it reports what their owners are being told (Told)
// and have heard (Known).
//
// # What it guarantees
//
// A piece with inputs is given all results of all stages that it comes after,
// of its own job, each once. A result that is not handed out, or that nobody
// will read any more, is freed; one that the owner of a shared job was told of only at
// its word, as another planner may have given it up. No call is made for a job that was
// cancelled before the call began.
package stage
