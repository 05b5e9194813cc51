// Package stall decides what becomes of an answer under way whose replica has
// fallen silent: when the replica is asked for its own account of the run, when
// another replica is secured, and when the run is ended in its favour. It is a
// deterministic core without I/O, clock or goroutine.
//
// Silence alone proves nothing. An engine that reads a long prompt sends nothing
// to all its other streams meanwhile, and goes on. Two rules follow, which hold
// over every order of events:
//
//   - A run is ended only after everything that the next one needs has been
//     secured: a repeat of the budget, another replica that has room, the inputs,
//     the time. What can't be secured is tried again later, and the answer is
//     waited for.
//   - A replica that says that it works on the run and has made nothing more than
//     what arrived is not doubted. It is left only after a far longer silence,
//     before the caller gives the answer up.
//
// A Machine is for one attempt. It is passed events with their times and returns
// the actions that its owner carries out; every Secure is answered by Secured or
// Denied, every Ask by Told, also when the machine has lost interest.
package stall
