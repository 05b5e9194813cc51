// Package stall handles responses in progress whose replica has stopped sending. It decides
// when the replica is queried for the status of the run, when resources for a run at
// another replica are reserved, and when the current run is abandoned in favour of that
// one. It is deterministic: it does no I/O, reads no clock and starts no goroutine.
//
// Silence alone is no evidence of a failure. While an engine reads a long prompt, it sends
// nothing on all its other streams, and continues them afterwards. Two rules
// follow, which hold for any order of events:
//
//   - A run is abandoned only after everything that the next one needs has been reserved: a
//     token of the retry budget, another replica with free capacity, the inputs and enough
//     time. If the reservation fails, it is retried later, and the response is still
//     awaited.
//   - A replica is not suspected if it reports that it works on the run and has produced
//     nothing beyond what arrived. Its run is abandoned only after a much longer silence,
//     before the caller stops waiting for the response.
//
// A Monitor handles one attempt. It is passed events with their times and returns the
// actions that its owner performs. The owner answers every Reserve by calling Reserved or
// ReservationFailed, and every Query by calling RecordStatus, even if the monitor no longer
// needs the result.
package stall
