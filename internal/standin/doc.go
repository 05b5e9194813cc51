// Package standin holds the code shared by the fakes of external systems: the
// listener, JSON responses, fault injection and delayed load reports.
//
// The fakes themselves are in the subpackages platform, engine, service and
// fleet. Each is an http.Handler that tests use in-process and that the program
// cmd/standin serves.
//
// The fake replicas serve GET /control/ledger (see package ledger). All fakes
// serve GET and POST /control/faults: a POST replaces all injected faults with
// those in its body, so an empty object clears them (see Faults).
package standin
