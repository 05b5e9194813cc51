package stages

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/wire"
)

// wireMessage is a message between daemons.
type wireMessage = proto.Message

// jobToWire converts a job to its message. Times become relative to now, since the clocks
// of hosts differ.
func jobToWire(j stage.Job, now time.Time) *wire.StageJob {
	out := &wire.StageJob{
		Id: j.ID, Key: j.Key, Priority: uint32(max(0, j.Rank.Customer)), RoutePriority: uint32(max(0, j.Rank.Route)),
		ContinuesStream: j.ContinuesStream,
		DueMs:           j.Due.Sub(now).Milliseconds(), LatestMs: j.Latest.Sub(now).Milliseconds(), DeadlineMs: max(0, j.Deadline.Sub(now).Milliseconds()),
		FailureDomain: j.Domain, Customer: j.Customer,
	}
	out.Made = completedToWire(j.Completed)
	for _, s := range j.Stages {
		w := &wire.StageWork{Service: s.Service, Pieces: uint32(max(0, s.Pieces)), ResultBytes: s.ResultBytes}
		for _, a := range s.DependsOn {
			w.After = append(w.After, uint32(max(0, a)))
		}
		out.Stages = append(out.Stages, w)
	}
	return out
}

// jobFromWire converts a message to a job. It ignores dependencies of a stage on itself or
// on later stages; they do not occur, since the sender's configuration was validated.
func jobFromWire(m *wire.StageJob, now time.Time) stage.Job {
	j := stage.Job{
		ID: m.GetId(), Key: m.GetKey(), Rank: catalog.Rank{Customer: int(m.GetPriority()), Route: int(m.GetRoutePriority())},
		Due:             now.Add(time.Duration(m.GetDueMs()) * time.Millisecond),
		Latest:          now.Add(time.Duration(m.GetLatestMs()) * time.Millisecond),
		Deadline:        now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		ContinuesStream: m.GetContinuesStream(),
		Domain:          m.GetFailureDomain(),
		Customer:        m.GetCustomer(),
	}
	for i, w := range m.GetStages() {
		s := stage.Stage{Service: w.GetService(), Pieces: int(w.GetPieces()), ResultBytes: w.GetResultBytes()}
		for _, a := range w.GetAfter() {
			if int(a) < i {
				s.DependsOn = append(s.DependsOn, int(a))
			}
		}
		j.Stages = append(j.Stages, s)
	}
	j.Completed = completedFromWire(m.GetMade())
	return j
}

func completedToWire(completed []stage.CompletedPiece) []*wire.StageMade {
	out := make([]*wire.StageMade, 0, len(completed))
	for _, p := range completed {
		out = append(out, &wire.StageMade{
			Stage: uint32(max(0, p.Stage)), Index: uint32(max(0, p.Index)), Handle: p.Handle, Replica: p.Replica,
		})
	}
	return out
}

func completedFromWire(completed []*wire.StageMade) []stage.CompletedPiece {
	out := make([]stage.CompletedPiece, 0, len(completed))
	for _, p := range completed {
		out = append(out, stage.CompletedPiece{
			Stage: int(p.GetStage()), Index: int(p.GetIndex()), Handle: p.GetHandle(), Replica: p.GetReplica(),
		})
	}
	return out
}

func pollResultToWire(p pollResult) *wire.StagePolled {
	out := &wire.StagePolled{Unknown: p.unknown, Number: p.number}
	for id, outcome := range p.outcomes {
		out.Ends = append(out.Ends, outcomeToWire(id, outcome))
	}
	for id, completed := range p.completed {
		out.Progress = append(out.Progress, &wire.StageProgress{Job: id, Made: completedToWire(completed)})
	}
	return out
}

// maxSharePercent is the largest share that is sent.
const maxSharePercent = 1e6

func outcomeToWire(id string, outcome *JobOutcome) *wire.StageEnd {
	if r := outcome.Refused; r != nil {
		return &wire.StageEnd{
			Job: id, Reason: string(r.Reason),
			RetryAfterMs: r.RetryAfter.Milliseconds(), PredictedMs: r.Predicted.Milliseconds(),
			Service:      r.Service,
			Preferred:    r.Preferred,
			SharePercent: uint32(min(maxSharePercent, math.Round(100*r.Share))),
		}
	}
	return &wire.StageEnd{
		Job: id, Handles: outcome.Ready.Handles, FailureDomain: outcome.Ready.Domain, DomainBytes: outcome.Ready.DomainBytes,
		Preferred: outcome.Ready.Preferred,
	}
}

func outcomeFromWire(m *wire.StageEnd) *JobOutcome {
	if m.GetReason() == "" {
		return &JobOutcome{Ready: stage.Ready{
			Job: m.GetJob(), Handles: m.GetHandles(), Domain: m.GetFailureDomain(), DomainBytes: m.GetDomainBytes(),
			Preferred: m.GetPreferred(),
		}}
	}
	return &JobOutcome{Refused: &stage.Refused{
		Job: m.GetJob(), Reason: stage.Reason(m.GetReason()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Predicted:  time.Duration(m.GetPredictedMs()) * time.Millisecond,
		Share:      float64(m.GetSharePercent()) / 100,
		Service:    m.GetService(),
		Preferred:  m.GetPreferred(),
	}}
}
