// Package stage plans the preparatory stages of requests: which replica executes which
// pieces together, and when.
//
// A piece is the smallest unit of stage work. A call to a replica costs about the same
// whatever number of pieces it holds, so pieces of many requests are batched into one call.
// A Machine holds the queue of the whole fleet, or of its part, for every stage service.
// One daemon, the planner, plans for the others. Calls and results of an earlier planner
// are unknown to it; it learns of them from refused calls and from the free memory that
// replicas report. When a planner is lost, the owners of its jobs submit them to the next
// planner, together with the progress that was reported to them.
//
// # Contract
//
// A Machine does no I/O, reads no clock and starts no goroutine. The caller passes the time
// and one Event at a time to Step and carries out the returned Actions in order. Step is
// not safe for concurrent use.
//
// Calls are also limited by Config.Limiters, which other components of the host share:
// decisions depend on the calls that those have started.
//
// Every Run is answered by exactly one CallEnded with the same call number. Every submitted
// job ends with exactly one Ready or Refused, unless it is cancelled first. After Ready,
// and after Refused with ResultsHeld set, the caller reports Cancelled once the results
// have been read or are no longer needed. For transferable jobs, whose owners may hand them
// to another planner, the caller also reports which progress it is sending to their owners
// (ProgressSent) and which the owners have acknowledged (ProgressAcked).
//
// # What it guarantees
//
// A piece with inputs is given all results of all stages that it depends on, of its own
// job, each once. A result that is not delivered, or that no one will read any more, is
// released. A result reported to the owner of a transferable job is released only after the
// owner's acknowledgement or cancellation, as another planner may have released it. No call
// is made for a job that was cancelled before the call started.
package stage
