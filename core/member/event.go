package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// Event is something that happened; see Machine.Step.
type Event interface{ isEvent() }

// Tick tells the machine the time; it is due every TickInterval.
type Tick struct{}

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// Received is a message from a fellow daemon: any message type of
// wire/member.proto. A *wire.MemberPing is answered by exactly one Send of a
// *wire.MemberAck of the same seq, a *wire.MemberSync by one Send of a
// *wire.MemberSyncReply, both to the sender.
type MessageReceived struct {
	From string
	Msg  proto.Message
}

// Failed says that a sent message did not reach its host.
type SendFailed struct {
	To  string
	Msg proto.Message
}

// Configured replaces the hosts of the fleet, and the upstreams that may be
// marked as leaving (nil allows every name).
type Configured struct {
	Hosts     []Host
	Upstreams []string
	// MaxClockSkew replaces the one of Config unless it is 0.
	MaxClockSkew time.Duration
}

// ListedUpstream is one upstream in the platform's host list.
type ListedUpstream struct {
	Name    string
	Leaving bool
}

// HostList is the platform's host list.
type HostList struct {
	AsOfUnixMS int64
	Upstreams  []ListedUpstream
}

// UpstreamReported is an upstream's own word on whether it leaves.
type UpstreamReported struct {
	Name       string
	Leaving    bool
	AsOfUnixMS int64
}

// Leave announces that this host drains.
type Leave struct{}

// Paused says that the process stood still; long gaps between ticks are
// noticed without it.
type Paused struct{ For time.Duration }

// SetSlot replaces this host's value of an extension. Urgent news is pushed to
// some neighbours at once instead of waiting for the next probe.
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

// Action is something for the caller to do or to know.
type Action interface{ isAction() }

// Send asks for a message to be sent to a host.
type Send struct {
	To  string
	Msg proto.Message
}

// Changed says that the belief about a host changed.
type MemberChanged struct{ Member Member }

// SlotHeard hands over another host's value of an extension.
type SlotReceived struct {
	ID          SlotID
	Host        string
	Incarnation uint64
	Value       []byte
	// Solicited says that the value rode on the answer to a ping that was
	// sent since the last start or pause: it is no older than that.
	Solicited bool
	// SentUnixMS is the sender's clock when it sent a direct value; 0 for
	// fleet values.
	SentUnixMS int64
}

// UpstreamChanged says that an upstream leaves or is back.
type UpstreamChanged struct {
	Name    string
	Leaving bool
}

// Freshness says whether the views are renewed (after a start or a pause).
type FreshnessChanged struct{ Fresh bool }

// SkewChanged says that this host's clock left or rejoined the peers' median.
type SkewChanged struct {
	Skewed bool
	Offset time.Duration
}

// Superseded says that a later process of this host's name lives. This one
// must stop serving.
type Superseded struct{ Incarnation uint64 }

// Refused says that an event or message broke a bound and was dropped.
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

// State is what is believed of a host.
type State uint8

// The states.
const (
	// Unknown hosts were not heard of since the start.
	Unknown State = iota
	Alive
	Suspect
	Dead
	// Leaving hosts are alive and take no new requests.
	Leaving
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "leaving"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Member is the belief about one host.
type Member struct {
	Host        Host
	Incarnation uint64
	State       State
	// Since is when State was entered.
	Since time.Time
	// Heard is when the host last spoke to us itself; zero if never.
	Heard time.Time
	// Neighbour says that we probe the host.
	Neighbour bool
}

// Living says that the host is believed to live: a suspect counts until it is
// held dead.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Stats counts what a Machine did since its start.
type Stats struct {
	Probes, ProbesFailed, IndirectProbes uint64
	Suspicions, Deaths, Refutations      uint64
	Pushes, Syncs, Pauses                uint64
}

// stateOf maps a record to a State.
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
