// Package operator implements the HTTP/JSON API of a daemon for operators:
// health, metrics, state dump, decision records of requests, bundle status and
// drain. Operators authenticate with a bearer token or a client certificate.
//
// Each host can answer queries about any other host: it calls the peer methods
// "operator.explain", "operator.status" and "operator.dump" of the other daemons.
package operator
