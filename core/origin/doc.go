// Package origin decides which software version began a stream that a caller takes up again,
// at any host.
//
// A stream may go on only at the version that wrote its first event. The host that sent that
// event records the version, and two other hosts hold the record (Holders). A host that gets
// a resume asks the hosts that may hold it and decides from their answers (Decide). Without a
// record, one version decides that has been the only one for as long as a stream may last.
//
// # Contract
//
// Records and History are passed the time; nothing here reads a clock, does I/O or starts
// goroutines. Neither is safe for concurrent use. A wrong version is never returned if the
// answers are true; that it is unknown is a possible result. Memory is bounded by MaxRecords,
// MaxVersions and MaxHistory.
package origin
