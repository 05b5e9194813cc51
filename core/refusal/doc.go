// Package refusal distinguishes refusals that a replica's load explains from those that
// it does not explain.
//
// A replica that refuses requests while it is full is overloaded. A replica that
// refuses while it reports free slots objects to something about the requests
// themselves: a header that it interprets as an instruction, a prompt that exceeds its
// memory, or a version that it does not have. A Monitor counts both kinds by service and
// raises an Alarm when the unexplained refusals are numerous and a considerable share
// of all attempts.
//
// Observe is passed the time and the end of every attempt, with services in any order.
// It returns an Alarm at most once in a Window for each service. The package makes no
// calls, reads no clock and is not safe for concurrent use. Its memory is bounded by
// MaxServices and MaxReplicas.
package refusal
