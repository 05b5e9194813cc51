// Package catalog holds a gateway's model of a deployment: the configured routes, services
// and customers, and the registered replicas. It does no I/O and reads no clock. Values
// other than Registry are immutable once built.
package catalog
