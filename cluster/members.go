package cluster

import (
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/membership"
	"github.com/wheatseam/wheatseam/wire"
)

// The RPC methods for bundles. Package membership registers those of membership.
const (
	methodManifest = "rollout.manifest"
	methodParts    = "rollout.parts"
)

// hooks returns the callbacks that connect membership to the rest of the cluster.
func (c *Cluster) hooks() membership.Hooks {
	return membership.Hooks{SlotReceived: c.handleSlot, MemberChanged: c.handleMemberChange, FreshnessChanged: c.handleFreshness, ViewChanged: c.handleViewChange}
}

// handleSlot passes the bundle mark to the rollout and any other slot's value to
// its callback, or stores it if there is none.
func (c *Cluster) handleSlot(a member.SlotReceived) {
	if f := c.onSlot[a.ID]; f != nil {
		f(a)
		return
	}
	if a.ID != member.SlotBundle {
		c.slots.put(a, clock.Now())
		return
	}
	mark := &wire.BundleMark{}
	if err := proto.Unmarshal(a.Value, mark); err != nil {
		c.log.Warn("cannot decode the bundle mark", zap.String("peer", a.Host), zap.Error(err))
		return
	}
	c.rollouts.post(rollout.PeerMarkReceived{Host: a.Host, Mark: mark, Solicited: a.Solicited})
}

func (c *Cluster) handleMemberChange(m member.Member) {
	for _, f := range c.onMember {
		f(m)
	}
}

func (c *Cluster) handleFreshness(fresh bool) {
	if !fresh {
		c.rollouts.post(rollout.Resumed{})
	}
}

func (c *Cluster) handleViewChange(next, old *membership.View) {
	if next.LiveCount != old.LiveCount || !slices.Equal(next.Neighbours, old.Neighbours) {
		c.rollouts.post(rollout.PeersChanged{Neighbours: next.Neighbours, LiveHosts: next.LiveCount})
		c.slots.retain(next.Members)
	}
	if !slices.Equal(next.Leaving, old.Leaving) {
		for _, f := range c.onLeaving {
			f(next.Leaving)
		}
	}
}
