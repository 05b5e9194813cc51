package rollout

import (
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// Event is something that happened; see Machine.Step.
type Event interface{ isEvent() }

// Tick tells the machine the time; it is due every 100 ms or so.
type Tick struct{}

// PeerHeard is the mark that rode on a peer's heartbeat.
type PeerMarkReceived struct {
	Host string
	Mark *wire.BundleMark
	// Solicited says that the mark answers what this daemon asked since its
	// start or last pause; others may be as old as the pause.
	Solicited bool
}

// PeersChanged is the fleet as membership sees it.
type PeersChanged struct {
	// Neighbours are the hosts whose heartbeats are heard.
	Neighbours []string
	// Living counts the hosts not believed dead, this one included.
	LiveHosts int
}

// ManifestArrived answers a FetchManifest.
type ManifestArrived struct {
	From     string
	Manifest *wire.BundleManifest
}

// PartsArrived answers a FetchParts.
type PartsArrived struct {
	From  string
	Parts *wire.BundleParts
}

// FetchFailed ends a FetchManifest or FetchParts without an answer.
type FetchFailed struct {
	From string
	Err  error
}

// ServiceAnswered is a value read from the configuration service.
type ServiceAnswered struct {
	Revision uint64
	Signed   []byte
}

// ServiceUnchanged says that the service has no later revision.
type ServiceUnchanged struct{}

// ServiceFailed says that the service did not answer.
type ServiceFailed struct{ Err error }

// Woke says that the process stood still: it is not ready until it has heard
// from its peers again.
type Resumed struct{}

func (Tick) isEvent()             {}
func (Resumed) isEvent()          {}
func (PeerMarkReceived) isEvent() {}
func (PeersChanged) isEvent()     {}
func (ManifestArrived) isEvent()  {}
func (PartsArrived) isEvent()     {}
func (FetchFailed) isEvent()      {}
func (ServiceAnswered) isEvent()  {}
func (ServiceUnchanged) isEvent() {}
func (ServiceFailed) isEvent()    {}

// Action is something for the caller to do or to know.
type Action interface{ isAction() }

// PollService asks for one read of the service, answered by ServiceAnswered,
// ServiceUnchanged or ServiceFailed. After is the revision already known; 0
// reads whatever there is.
type PollService struct{ After uint64 }

// FetchManifest asks a peer for its manifest.
type FetchManifest struct{ From string }

// FetchParts asks a peer for parts.
type FetchParts struct {
	From    string
	Request *wire.BundlePartsRequest
}

// Adopt puts a bundle into force.
type Adopt struct {
	Active *ActiveBundle
	Source Source
}

// Announce replaces the mark on the heartbeats. It is urgent when a bundle
// came into force.
type Announce struct {
	Mark   *wire.BundleMark
	Urgent bool
}

// Rejected says that a document or a peer's transfer was refused.
type Rejected struct {
	Source  Source
	Version uint64
	Digest  uint64
	Err     error
}

// Conflict says that two documents claim one version. The one in force stays.
type Conflict struct {
	Source                    Source
	Version                   uint64
	ActiveDigest, OtherDigest uint64 // short digests
}

// ServiceStale says that the service serves a lower version than is in force.
type ServiceStale struct{ ServedVersion, ActiveVersion uint64 }

// Readiness says that the daemon holds the newest bundle that it could hear
// of. Alone means that too few peers answered in time to tell.
type BecameReady struct{ Unconfirmed bool }

func (PollService) isAction()   {}
func (FetchManifest) isAction() {}
func (FetchParts) isAction()    {}
func (Adopt) isAction()         {}
func (Announce) isAction()      {}
func (Rejected) isAction()      {}
func (Conflict) isAction()      {}
func (ServiceStale) isAction()  {}
func (BecameReady) isAction()   {}

// Source says where a document came from.
type Source struct {
	// Peer is the host, or empty for the configuration service.
	Peer string
}

// String names the source.
func (s Source) String() string {
	if s.Peer == "" {
		return "configuration service"
	}
	return "peer " + s.Peer
}

// Config holds the constants of one Machine.
type Config struct {
	Codec Codec
	// PollSpacing is the mean time between two reads of the service by the
	// whole fleet.
	PollSpacing time.Duration
	// PollMin is the least mean time between two reads by this daemon.
	MinPollInterval time.Duration
	// PollMax bounds the wait between two reads by this daemon.
	PollMax time.Duration
	// FullEvery makes every n-th read unconditional, which notices a service
	// whose revisions began anew.
	FullEvery int
	// StartSpread is the time over which first reads are spread.
	StartSpread time.Duration
	// StartTimeout is how long a starting daemon waits for its peers.
	StartTimeout time.Duration
	// FetchTimeout bounds the wait for each answer of a fetch from a peer.
	FetchTimeout time.Duration
	// AvoidFor is how long a peer whose fetch failed is not asked again.
	AvoidFor time.Duration
	// PollTimeout is when an unanswered read counts as failed.
	PollTimeout time.Duration
}

// DefaultConfig returns the constants that docs/decisions/0006-rollout.md
// argues for.
func DefaultConfig(c Codec) Config {
	return Config{
		Codec:           c,
		PollSpacing:     500 * time.Millisecond,
		MinPollInterval: 2 * time.Second,
		PollMax:         10 * time.Minute,
		FullEvery:       20,
		StartSpread:     time.Second,
		StartTimeout:    15 * time.Second,
		FetchTimeout:    5 * time.Second,
		AvoidFor:        15 * time.Second,
		PollTimeout:     10 * time.Second,
	}
}
