// Package refusal tells refusals that a replica's load explains from those that
// it does not.
//
// A replica that refuses while it is full is a matter of load. One that refuses
// while it says that it has free places refuses something about the requests: a
// header that it takes for an order, a prompt that is larger than its memory, a
// version that it does not have. A Watch counts both by service, and raises an
// Alarm when those without a reason are many and a good share of all attempts.
//
// Contract: Observe is passed time and every attempt's end, in any order of
// services. It returns an Alarm at most once in a Window for each service. The
// package makes no calls, keeps no clock and is not safe for concurrent use.
// Memory is bounded by MaxServices and MaxReplicas.
package refusal
