package member

import (
	"fmt"
	"time"
)

// Host is one entry host, as named in the bundle or in the host list.
type Host struct {
	Name          string
	FailureDomain string
}

// SlotID identifies a slot on the wire. Numbers are never reused.
type SlotID uint32

// The slots in use.
const (
	// SlotBundle carries wire.BundleMark (core/rollout).
	SlotBundle SlotID = 1
	// SlotView carries the view acknowledgement and the synced flag of claims.
	SlotView SlotID = 2
	// SlotDemand carries the demand digest of admission.
	SlotDemand SlotID = 3
	// SlotLoad carries the load digest of routing.
	SlotLoad SlotID = 4
	// SlotQuarantine carries the digest of the requests that are refused because
	// they crash replicas.
	SlotQuarantine SlotID = 5
)

// SlotConfig registers a slot: a small value that each daemon attaches to its
// heartbeats.
type SlotConfig struct {
	ID SlotID
	// MaxBytes is the largest accepted size of one value.
	MaxBytes int
	// FleetWide marks a fleet-wide slot, whose values are gossiped to every host.
	// The values of other (direct) slots are sent only to neighbours, with every
	// ping and ack.
	FleetWide bool
}

// The limits on registered slots, in bytes.
const (
	// MaxDirectSlotBytes limits the sum of MaxBytes over all direct slots.
	MaxDirectSlotBytes = 1024
	// MaxFleetSlotBytes limits MaxBytes of each fleet-wide slot.
	MaxFleetSlotBytes = 256
)

// Config holds the parameters of one Machine.
type Config struct {
	Self Host
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	// Rings is the number of hash rings of the overlay, and so the largest number
	// of neighbours that a daemon probes.
	Rings int
	// ProbeInterval is the time between two probes by this daemon.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an ack before other daemons are asked to probe
	// the target.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of daemons that are asked.
	IndirectProbes int
	// SuspicionMin and SuspicionMax bound the time from suspect to dead: the
	// maximum applies when one daemon reports the suspicion, the minimum when
	// suspicionConfirmations more daemons confirm it.
	SuspicionMin, SuspicionMax time.Duration
	// RandomProbeEvery sends every n-th probe to a random host that is not a
	// neighbour; 0 disables these probes.
	RandomProbeEvery int
	// MaxGossipBytes is the total size of the gossip items in one ping or ack from
	// which no further item is added.
	MaxGossipBytes int
	// PauseThreshold is the smallest gap since the last tick that counts as a
	// pause of the process.
	PauseThreshold time.Duration
	// SyncInterval is the minimum time between two syncs started by this daemon.
	SyncInterval time.Duration
	// MaxClockSkew is the largest accepted offset from the median of the peers'
	// clocks.
	MaxClockSkew time.Duration
	// PushFanout is the number of neighbours that are pinged at once when there
	// is an urgent update.
	PushFanout int
	// LeavingHoldDown is how much newer than a leaving mark a host list must be
	// before it can clear the mark.
	LeavingHoldDown time.Duration
	Slots           []SlotConfig
}

// DefaultConfig returns the parameters that docs/decisions/0005-membership.md
// gives reasons for.
func DefaultConfig(self Host, incarnation uint64) Config {
	return Config{
		Self:             self,
		Incarnation:      incarnation,
		Rings:            8,
		ProbeInterval:    time.Second,
		ProbeTimeout:     400 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionMin:     3 * time.Second,
		SuspicionMax:     6 * time.Second,
		RandomProbeEvery: 16,
		MaxGossipBytes:   600,
		PauseThreshold:   1500 * time.Millisecond,
		SyncInterval:     10 * time.Second,
		MaxClockSkew:     500 * time.Millisecond,
		PushFanout:       3,
		LeavingHoldDown:  30 * time.Second,
	}
}

// validate returns an error for the first slot that exceeds a limit.
func (c Config) validate() error {
	directBytes := 0
	seen := map[SlotID]bool{}
	for _, e := range c.Slots {
		if seen[e.ID] {
			return fmt.Errorf("member: slot %d is registered twice", e.ID)
		}
		seen[e.ID] = true
		if e.FleetWide && e.MaxBytes > MaxFleetSlotBytes {
			return fmt.Errorf("member: fleet-wide slot %d allows %d bytes, above the limit of %d bytes", e.ID, e.MaxBytes, MaxFleetSlotBytes)
		}
		if !e.FleetWide {
			directBytes += e.MaxBytes
		}
	}
	if directBytes > MaxDirectSlotBytes {
		return fmt.Errorf("member: direct slots allow %d bytes in total, above the limit of %d bytes", directBytes, MaxDirectSlotBytes)
	}
	return nil
}

// slotConfig returns the registration of a slot.
func (c Config) slotConfig(id SlotID) (SlotConfig, bool) {
	for _, e := range c.Slots {
		if e.ID == id {
			return e, true
		}
	}
	return SlotConfig{}, false
}
