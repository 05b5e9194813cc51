// Package quarantine finds requests that crash the replicas that run them.
//
// A request is named by its Fingerprint: callers that come back use another id.
package quarantine
