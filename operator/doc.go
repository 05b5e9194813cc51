// Package operator is the operators' listener of a daemon: health, metrics,
// state dump, explanation of requests, bundle status and drain, over HTTP/JSON
// with a bearer token or a client certificate.
//
// Any host answers for any other: it asks its fellow daemons by the peer
// methods "operator.explain", "operator.status" and "operator.dump".
package operator
