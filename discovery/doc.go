// Package discovery keeps a daemon's view of the platform's store up to date:
// the operator's configuration and the registered replicas.
//
// One daemon of the fleet reads the store at an interval; the others ask it for
// news and are answered as soon as there is some. Every answer says how old it
// is. A daemon whose view is older than its bounds allow, for whatever reason,
// reads the store itself: nobody depends on another daemon for longer than a
// fraction of the time within which news must be in force.
//
// Both are read in one call at an interval. A watch would be answered with each
// heartbeat of a replica, and one of the configuration alone may hear nothing
// for seconds when the store drops its history.
package discovery
