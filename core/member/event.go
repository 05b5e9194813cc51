package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Tick advances the machine's time. The caller passes one every TickInterval.
type Tick struct{}

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// MessageReceived is a message from another daemon, of any message type in
// wire/member.proto. A *wire.MemberPing is answered by exactly one Send of a
// *wire.MemberAck with the same seq, a *wire.MemberSync by one Send of a
// *wire.MemberSyncReply; both go to the sender.
type MessageReceived struct {
	From string
	Msg  proto.Message
}

// SendFailed reports that a sent message did not reach its host.
type SendFailed struct {
	To  string
	Msg proto.Message
}

// Configured replaces the hosts of the fleet, and the names of the upstreams
// that may be marked as leaving (nil allows every name).
type Configured struct {
	Hosts     []Host
	Upstreams []string
	// MaxClockSkew replaces Config.MaxClockSkew unless it is 0.
	MaxClockSkew time.Duration
}

// ListedUpstream is one upstream in the platform's host list.
type ListedUpstream struct {
	Name    string
	Leaving bool
}

// HostList is the host list served by the platform.
type HostList struct {
	AsOfUnixMS int64
	Upstreams  []ListedUpstream
}

// UpstreamReported is an upstream's own report on whether it is leaving.
type UpstreamReported struct {
	Name       string
	Leaving    bool
	AsOfUnixMS int64
}

// Leave marks this host as draining and announces it to the fleet.
type Leave struct{}

// Paused reports that the process did not run for a while. Long gaps between
// ticks are detected without this event.
type Paused struct{ For time.Duration }

// SetSlot replaces this host's value of a slot. An urgent value is sent to some
// neighbours at once instead of with the next probe.
type SetSlot struct {
	ID     SlotID
	Value  []byte
	Urgent bool
}

func (Tick) isEvent()             {}
func (MessageReceived) isEvent()  {}
func (SendFailed) isEvent()       {}
func (Configured) isEvent()       {}
func (HostList) isEvent()         {}
func (UpstreamReported) isEvent() {}
func (Leave) isEvent()            {}
func (Paused) isEvent()           {}
func (SetSlot) isEvent()          {}

// Action is an output of Machine.Step that the caller carries out or takes note
// of.
type Action interface{ isAction() }

// Send asks for a message to be sent to a host.
type Send struct {
	To  string
	Msg proto.Message
}

// MemberChanged reports a change in this daemon's view of a host.
type MemberChanged struct{ Member Member }

// SlotReceived delivers another host's value of a slot.
type SlotReceived struct {
	ID          SlotID
	Host        string
	Incarnation uint64
	Value       []byte
	// Solicited reports that the value came with the ack of a ping that this
	// daemon sent since its last start or pause, so the value is no older than
	// that.
	Solicited bool
	// SentUnixMS is the sender's clock when it sent the value of a direct slot,
	// in Unix milliseconds; 0 for fleet-wide slots.
	SentUnixMS int64
}

// UpstreamChanged reports that an upstream is leaving or has returned.
type UpstreamChanged struct {
	Name    string
	Leaving bool
}

// FreshnessChanged reports whether the membership view is fresh. It is stale after a
// start or a pause until a majority of the live neighbours has answered.
type FreshnessChanged struct{ Fresh bool }

// SkewChanged reports that this host's clock came to differ from the peers'
// median by more than MaxClockSkew, or no longer does.
type SkewChanged struct {
	Skewed bool
	Offset time.Duration
}

// Superseded reports that a later process runs under this host's name, with
// the given incarnation. This process must stop serving.
type Superseded struct{ Incarnation uint64 }

// Rejected reports that an event or message was invalid or exceeded a limit and
// was dropped.
type Rejected struct {
	From   string
	Reason string
}

func (Send) isAction()             {}
func (MemberChanged) isAction()    {}
func (SlotReceived) isAction()     {}
func (UpstreamChanged) isAction()  {}
func (FreshnessChanged) isAction() {}
func (SkewChanged) isAction()      {}
func (Superseded) isAction()       {}
func (Rejected) isAction()         {}

// State is this daemon's view of a host.
type State uint8

// The states of a host.
const (
	// Unknown means that nothing has been received about the host since the start.
	Unknown State = iota
	Alive
	Suspect
	Dead
	// Leaving hosts are alive but take no new requests.
	Leaving
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "leaving"}

func (s State) String() string { return stateNames[s] }

// Member is this daemon's view of one host.
type Member struct {
	Host        Host
	Incarnation uint64
	State       State
	// Since is when State was entered.
	Since time.Time
	// LastContact is when the last ping or ack from the host itself arrived; zero if
	// none did.
	LastContact time.Time
	// Neighbour reports whether this daemon probes the host.
	Neighbour bool
}

// Live reports whether the host is alive or suspect. A suspect host counts as
// live until it is declared dead.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Stats holds a Machine's event counts since its start.
type Stats struct {
	Probes, ProbesFailed, IndirectProbes uint64
	Suspicions, Deaths, Refutations      uint64
	Pushes, Syncs, Pauses                uint64
}

// stateOf converts the state and the leaving flag of a record to a State.
func stateOf(s wire.MemberState, leaving bool) State {
	switch s {
	case wire.MemberState_MEMBER_ALIVE:
		if leaving {
			return Leaving
		}
		return Alive
	case wire.MemberState_MEMBER_SUSPECT:
		return Suspect
	case wire.MemberState_MEMBER_DEAD:
		return Dead
	}
	return Unknown
}
