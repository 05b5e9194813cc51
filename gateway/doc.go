// Package gateway is the daemon that serves on the users' platform: it takes
// requests as callers send them there, has their stages made, relays them to a
// replica of their route's service and hands the signed answer back unchanged.
//
// What is spoken with callers, replicas and the store is in package platform;
// what is decided is in core/catalog (routes), core/stage (stage work),
// core/route (replicas) and core/retry (budgets). This package does the I/O
// between them.
//
// A request that may not be executed twice is sent again only after a replica
// said that it had not executed it, or when no connection came about.
package gateway
