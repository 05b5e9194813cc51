// Package fleet is a gateway daemon's knowledge of its fellows. Daemons find
// each other through a few seeds: each introduces itself to them and learns
// whom they know. Who of these lives is membership's matter (core/member).
//
// A host that has just started does not yet know who ranks first among its
// fellows; Formed tells when it does.
//
// A host's name among its fellows is the ip:port at which it hears them, so
// that no directory of addresses is needed.
package fleet
