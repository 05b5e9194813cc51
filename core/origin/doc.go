// Package origin decides which software version began a stream that a caller takes up again,
// at any host.
//
// A stream may go on only at the version that wrote its first event. The host that sent that
// event records the version, and two other hosts hold the record (Holders). A host that gets
// a resume asks the hosts that may hold it and decides from their answers (Decide). Without a
// record, a version decides that has been the only one for as long as a stream may last, or the
// only one whose replicas keep the stream's prompt, unless they have read it for another request.
//
// The last part of a prompt may belong to a session. Two hosts hold which requests have had it read,
// at which versions (Readers). A host that starts gets the records and readers that it is asked for
// from the others (Inherit).
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the time is passed. Records,
// Readers and History are not safe for concurrent use.
//
// Absence is evidence only for the time that a memory covers: that a host remembers no other
// version, or has no record, says nothing of the time before it began to observe. Every answer
// therefore says from when and up to when it is complete. A wrong version is never returned if
// the answers are true, callers wait no longer than Stream says, and no replica has read the prompt
// for a request that no host remembers; that it is unknown is a possible result.
//
// Memory is bounded by MaxRecords, MaxReaders, MaxInherited, MaxVersions and MaxHistory.
package origin
