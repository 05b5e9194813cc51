package member

import (
	"fmt"
	"time"
)

// Host is one entry host as the bundle or the host list names it.
type Host struct {
	Name          string
	FailureDomain string
}

// SlotID names an extension on the wire. Numbers are never reused.
type SlotID uint32

// The extensions in use.
const (
	// SlotBundle carries wire.BundleMark (core/rollout).
	SlotBundle SlotID = 1
	// SlotView carries the view acknowledgement and synced flag of claims.
	SlotView SlotID = 2
	// SlotDemand carries the demand digest of admission.
	SlotDemand SlotID = 3
	// SlotLoad carries the load digest of routing.
	SlotLoad SlotID = 4
	// SlotQuarantine carries the digest of the requests that are refused since they
	// crash replicas.
	SlotQuarantine SlotID = 5
)

// Extension registers a slot on the heartbeats.
type SlotConfig struct {
	ID SlotID
	// MaxBytes bounds one value; longer ones are refused.
	MaxBytes int
	// Fleet values are passed on to every host; the others reach neighbours
	// only, with every ping and ack.
	FleetWide bool
}

// The bounds on what extensions may register.
const (
	MaxDirectBytes = 1024
	MaxFleetBytes  = 256
)

// Config holds the constants of one Machine.
type Config struct {
	Self Host
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation uint64
	// Rings is the number of neighbours that a daemon probes.
	Rings int
	// Interval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an ack before others are asked to probe.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of daemons asked.
	IndirectProbes int
	// SuspicionMin and SuspicionMax bound the wait from suspect to dead: the
	// maximum with one accuser, the minimum with SuspicionConfirmations more.
	SuspicionMin, SuspicionMax time.Duration
	// RandomEvery sends every n-th probe to a host outside the overlay.
	RandomEvery int
	// MaxItemBytes bounds the spreading items in one ping or ack.
	MaxItemBytes int
	// PauseAfter is the gap between two ticks that counts as a pause.
	PauseAfter time.Duration
	// SyncInterval is the least time between two comparisons with a peer.
	SyncInterval time.Duration
	// MaxClockSkew is the largest difference to the median of the peers.
	MaxClockSkew time.Duration
	// PushFanout is the number of neighbours that hear urgent news at once.
	PushFanout int
	// LeavingHoldDown is how much newer than a leaving mark a host list must
	// be before its word "live" ends the mark.
	LeavingHoldDown time.Duration
	Slots           []SlotConfig
}

// DefaultConfig returns the constants that docs/decisions/0005-membership.md
// argues for.
func DefaultConfig(self Host, incarnation uint64) Config {
	return Config{
		Self:            self,
		Incarnation:     incarnation,
		Rings:           8,
		ProbeInterval:   time.Second,
		ProbeTimeout:    400 * time.Millisecond,
		IndirectProbes:  3,
		SuspicionMin:    3 * time.Second,
		SuspicionMax:    6 * time.Second,
		RandomEvery:     16,
		MaxItemBytes:    600,
		PauseAfter:      1500 * time.Millisecond,
		SyncInterval:    10 * time.Second,
		MaxClockSkew:    500 * time.Millisecond,
		PushFanout:      3,
		LeavingHoldDown: 30 * time.Second,
	}
}

// validate reports the first extension that breaks the bounds.
func (c Config) validate() error {
	direct := 0
	seen := map[SlotID]bool{}
	for _, e := range c.Slots {
		if seen[e.ID] {
			return fmt.Errorf("member: extension %d is registered twice", e.ID)
		}
		seen[e.ID] = true
		if e.FleetWide && e.MaxBytes > MaxFleetBytes {
			return fmt.Errorf("member: extension %d wants %d bytes, the bound is %d", e.ID, e.MaxBytes, MaxFleetBytes)
		}
		if !e.FleetWide {
			direct += e.MaxBytes
		}
	}
	if direct > MaxDirectBytes {
		return fmt.Errorf("member: direct extensions want %d bytes, the bound is %d", direct, MaxDirectBytes)
	}
	return nil
}

// extension returns the registration of id.
func (c Config) extension(id SlotID) (SlotConfig, bool) {
	for _, e := range c.Slots {
		if e.ID == id {
			return e, true
		}
	}
	return SlotConfig{}, false
}
