// Package site implements a fake of the users' platform around a gateway: the
// metadata store, and replicas of plain services, engines and stage services. It
// implements the parts of the platform protocol that a gateway uses. A ledger
// records all executions, so that tests can check guarantees of the gateway from
// the outside.
package site
