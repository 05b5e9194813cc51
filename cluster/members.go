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

// The methods between daemons, beside those of package membership.
const (
	methodManifest = "rollout.manifest"
	methodParts    = "rollout.parts"
)

// hooks connect membership to the other parts.
func (c *Cluster) hooks() membership.Hooks {
	return membership.Hooks{SlotReceived: c.slotHeard, MemberChanged: c.memberChanged, FreshnessChanged: c.freshness, ViewChanged: c.viewChanged}
}

// slotHeard keeps an extension's value, or hands the bundle's mark over.
func (c *Cluster) slotHeard(a member.SlotReceived) {
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
		c.log.Warn("bundle mark unreadable", zap.String("peer", a.Host), zap.Error(err))
		return
	}
	c.rollouts.post(rollout.PeerMarkReceived{Host: a.Host, Mark: mark, Solicited: a.Solicited})
}

func (c *Cluster) memberChanged(m member.Member) {
	for _, f := range c.onMember {
		f(m)
	}
}

func (c *Cluster) freshness(fresh bool) {
	if !fresh {
		c.rollouts.post(rollout.Resumed{})
	}
}

func (c *Cluster) viewChanged(next, old *membership.View) {
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
