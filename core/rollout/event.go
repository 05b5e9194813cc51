package rollout

import (
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Tick advances the machine's time. The caller passes one about every 100 ms.
type Tick struct{}

// PeerMarkReceived is the mark received with a peer's heartbeat.
type PeerMarkReceived struct {
	Host string
	Mark *wire.BundleMark
	// Solicited reports that the mark came with the answer to a ping that this
	// daemon sent since its start or last pause; other marks may have been sent
	// before the pause.
	Solicited bool
}

// PeersChanged is the state of the fleet according to the membership protocol.
type PeersChanged struct {
	// Neighbours are the hosts that this daemon exchanges heartbeats with.
	Neighbours []string
	// LiveHosts is the number of hosts that are not dead, including this one.
	LiveHosts int
}

// ManifestArrived is the answer to a FetchManifest.
type ManifestArrived struct {
	From     string
	Manifest *wire.BundleManifest
}

// PartsArrived is the answer to a FetchParts.
type PartsArrived struct {
	From  string
	Parts *wire.BundleParts
}

// FetchFailed reports that a FetchManifest or FetchParts got no answer.
type FetchFailed struct {
	From string
	Err  error
}

// ServiceAnswered is a document read from the configuration service and the
// revision at which the service holds it.
type ServiceAnswered struct {
	Revision uint64
	Signed   []byte
}

// ServiceUnchanged reports that the service has no later revision.
type ServiceUnchanged struct{}

// ServiceFailed reports that a read of the service failed.
type ServiceFailed struct{ Err error }

// Resumed reports that the process was suspended. The daemon is not ready until its peers
// have answered again.
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

// Action is an output of Machine.Step that the caller carries out or takes note
// of.
type Action interface{ isAction() }

// PollService requests one read of the service, which the caller answers with
// ServiceAnswered, ServiceUnchanged or ServiceFailed. After is the revision
// already known; 0 makes the read unconditional.
type PollService struct{ After uint64 }

// FetchManifest requests the manifest of a peer's active bundle.
type FetchManifest struct{ From string }

// FetchParts requests parts of a document from a peer.
type FetchParts struct {
	From    string
	Request *wire.BundlePartsRequest
}

// Adopt makes a bundle the active one.
type Adopt struct {
	Active *ActiveBundle
	Source Source
}

// Announce replaces the mark in this daemon's heartbeats. It is urgent when a
// bundle became active.
type Announce struct {
	Mark   *wire.BundleMark
	Urgent bool
}

// Rejected reports that a document or a transfer from a peer was rejected.
// Version is 0 if unknown; Digest is the short digest.
type Rejected struct {
	Source  Source
	Version uint64
	Digest  uint64
	Err     error
}

// Conflict reports another document with the version of the active one, which
// stays active.
type Conflict struct {
	Source                    Source
	Version                   uint64
	ActiveDigest, OtherDigest uint64 // short digests
}

// ServiceStale reports that the service serves a lower version than the active
// one.
type ServiceStale struct{ ServedVersion, ActiveVersion uint64 }

// BecameReady reports that the daemon became ready: its active bundle is the newest
// one announced to it. Unconfirmed is set if too few peers answered in time to
// confirm that.
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

// Source is the origin of a document.
type Source struct {
	// Peer is the name of the host, or empty for the configuration service.
	Peer string
}

func (s Source) String() string {
	if s.Peer == "" {
		return "configuration service"
	}
	return "peer " + s.Peer
}

// Config holds the parameters of one Machine.
type Config struct {
	Codec Codec
	// FleetPollInterval is the mean time between two reads of the service over
	// all daemons of the fleet.
	FleetPollInterval time.Duration
	// MinPollInterval is the lower bound of the mean time between two reads by this daemon.
	MinPollInterval time.Duration
	// MaxPollDelay is the longest delay between two reads by this daemon.
	MaxPollDelay time.Duration
	// FullReadEvery makes every n-th read unconditional, which detects a service
	// whose revision numbers were reset; 0 disables this.
	FullReadEvery int
	// FirstPollSpread is the upper bound of the random delay of the first read.
	FirstPollSpread time.Duration
	// StartTimeout is how long a starting daemon waits for its peers to answer.
	StartTimeout time.Duration
	// FetchTimeout limits the wait for each answer during a transfer from a peer.
	FetchTimeout time.Duration
	// PeerBackoff is how long a peer is not used again after a failed transfer.
	PeerBackoff time.Duration
	// PollTimeout is the time after which an unanswered read counts as failed.
	PollTimeout time.Duration
}

// DefaultConfig returns the parameters that docs/decisions/0006-rollout.md gives
// reasons for.
func DefaultConfig(c Codec) Config {
	return Config{
		Codec:             c,
		FleetPollInterval: 500 * time.Millisecond,
		MinPollInterval:   2 * time.Second,
		MaxPollDelay:      10 * time.Minute,
		FullReadEvery:     20,
		FirstPollSpread:   time.Second,
		StartTimeout:      15 * time.Second,
		FetchTimeout:      5 * time.Second,
		PeerBackoff:       15 * time.Second,
		PollTimeout:       10 * time.Second,
	}
}
