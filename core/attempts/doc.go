// Package attempts decides when a run of a request has ended at its replica, so that another
// run may begin elsewhere. It is deterministic: it does no I/O, reads no clock and starts no
// goroutine.
//
// Closing a connection ends a run only if the replica sees the close. A connection that has
// become silent does not tell, so that a run which this host has given up may go on. A
// successor begins only if one of these is known:
//
//   - the replica ended the connection, or says that it did not execute the request;
//   - the replica says that it stopped the run, on another connection;
//   - the replica's report, queried after the run was given up, does not list the run, and no
//     request waits there which could be the run;
//   - the process that executed the run has ended, or another one has its address;
//   - the time that the replica was given for the run is over;
//   - the last query had no answer, and the replica answered none for ContactTime before;
//   - the replica does not report its runs, so that the close is all there is.
//
// A Run is passed events with their times and returns the actions that its owner performs.
package attempts
