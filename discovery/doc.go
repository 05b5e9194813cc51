// Package discovery keeps a daemon's view of the platform's store up to date:
// the operator's configuration and the registered replicas.
//
// One daemon of the fleet reads the store; the others ask it for news along a
// tree and are answered as soon as there is some. Every answer says how old it
// is. A daemon whose view is older than its bounds allow, for whatever reason,
// reads the store itself: nobody depends on another daemon for longer than a
// fraction of the time within which news must be in force.
//
// What is small and urgent never waits for what is large. News name a newer
// configuration and carry replicas only, those that changed. The configuration
// is fetched beside them: as the compressed step from the revision held, in
// blocks whose size bounds how long a link is taken, each with a timeout of its
// own. What has arrived of a step is kept and completed from another host, so
// that a slow link costs time and never the bytes that it has carried. What a
// link carries bounds the time to force, and not how the routes add up.
//
// The reader lists the replicas at an interval and asks for a newer
// configuration by a watch of the same length: the store sends one only when
// there is one. The watch looks back over several intervals, as the store may
// tell of nothing for a second before it drops its history.
package discovery
