// Package standin holds what the stand-ins for the outside systems share: the
// listener, JSON answers, injected faults and lagging load reports.
//
// The stand-ins themselves are in the packages platform, engine, service and
// fleet below; each is an http.Handler that tests use in-process and that the
// program cmd/standin serves.
//
// Every stand-in answers GET /control/ledger (see package ledger), and
// GET, POST /control/faults: a POST replaces all injected faults by those of
// its body, so that an empty object clears them (see Faults).
package standin
