package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// originRefreshTimeout limits the wait for replicas that were read from the store after a resume came.
const originRefreshTimeout = 300 * time.Millisecond

// refreshReplicas has the view list the replicas as they were when the request came, or later, and
// reports whether it does. A view from before may lack the version that began the stream.
func (x *exchange) refreshReplicas(ctx context.Context) bool {
	began := clock.Now()
	refreshed := x.g.discovery.RefreshReplicas(ctx, x.arrived, originRefreshTimeout)
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_origin_views_total{refreshed=\"%t\"}", refreshed)).Inc()
	x.g.metrics.GetOrCreateHistogram("wheatseam_origin_view_wait_seconds").Update(clock.Since(began).Seconds())
	return refreshed
}

// lookUpOriginByOldView decides about a stream without the memory of replicas, since the view is
// older than the resume: by a record that has come meanwhile, or else the stream is refused.
func (x *exchange) lookUpOriginByOldView(ctx context.Context) origin.Verdict {
	v := x.lookUpOriginOnce(ctx, nil)
	if v.Known || v.Reason == origin.Conflict || v.Reason == origin.ShortHistory {
		return v
	}
	return origin.Verdict{MayCome: true, Reason: origin.OldView, Evidence: v.Evidence}
}
