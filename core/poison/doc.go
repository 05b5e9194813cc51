// Package poison finds out which requests, and which parts of prompts, crash the replicas that
// run them, and decides how long requests with them are quarantined, that is refused.
//
// # Evidence
//
// When a replica crashes, all runs on it are lost, so the request that caused the crash is
// reported together with bystanders; replicas also crash for unrelated reasons. Subjects are the
// contents of requests and the parts of their prompts. Crashes count against a subject that was
// in a lost run, if no run with it survived since. The attribution assigns them to as few
// subjects as account for them, the strongest first: one that never survived before, or that
// accounts for most crashes; what it accounts for counts against no other. A content is
// quarantined from three crashes on, a part from four, or five if it had survived before. Since each
// crash has all of them attributed again, a later one may show that another subject accounts for
// more than the one that was quarantined.
//
// # Lifting a quarantine
//
// Any run that survives, anywhere in the fleet, lifts a verdict. One on a part, which many
// requests may share, is in force after ObjectionTime only: any daemon that has seen the part
// survive since the first of the crashes lifts it before that. A subject that is refused
// everywhere would never run again, so a few trials are granted, one run each: the first after
// FirstTrial, or after DoubtfulTrial for parts, and for contents if other replicas crashed at that
// time without them. A verdict expires after Lifetime.
//
// # Contract
//
// A Detector is passed crashes, successful runs and the verdicts of other detectors, each
// with its time, and returns the verdicts that changed. It is deterministic, does no I/O,
// reads no clock and is not safe for concurrent use. The verdicts of several detectors
// converge in whatever order they are merged (Verdict.Supersedes). Memory is bounded by
// MaxCrashes, MaxSuspects, MaxVerdicts and maxSuccesses.
package poison
