// Package catalog is what a gateway knows of a deployment: the operator's
// routes, services and tenants, and the replicas that are registered. It is
// decision core: values are immutable once built, and nothing here does I/O or
// reads a clock.
package catalog
