// Package site stands in for the users' platform around a gateway: its
// metadata store, and replicas of plain services, engines and stage services.
// It speaks their published protocol as far as a gateway uses it, and keeps a
// ledger of what ran, so that tests can check promises from the outside.
package site
