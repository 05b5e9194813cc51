// Package poison detects requests that crash the replicas that run them, and decides how
// long they are quarantined, that is refused.
//
// # Evidence
//
// When a replica crashes, all runs on it are lost, so the request that caused the crash is
// reported together with bystanders; replicas also crash for unrelated reasons. A request
// is quarantined when three replicas have crashed one after the other while running it, and
// no run of it has succeeded since the first of these crashes. A crash in which an already
// quarantined request was involved does not count against any other request. If several
// requests reach three crashes with the same crash, the one with the most crashes is
// quarantined, or of several with as many, the one that crashed its replicas the soonest
// after its runs began; the others need a further crash without it.
//
// # Lifting a quarantine
//
// Any successful run, anywhere in the fleet, lifts a verdict. A request that is refused
// everywhere would never run again, so a few trials are granted, one run each: the first
// after FirstTrial, or after DoubtfulTrial if other replicas crashed at that time without
// the request. A verdict expires after Lifetime.
//
// # Contract
//
// A Detector is passed crashes, successful runs and the verdicts of other detectors, each
// with its time, and returns the verdicts that changed. It is deterministic, does no I/O,
// reads no clock and is not safe for concurrent use. The verdicts of several detectors
// converge in whatever order they are merged (Verdict.Supersedes). Memory is bounded by
// MaxCrashes, MaxSuspects, MaxVerdicts and maxSuccesses.
package poison
