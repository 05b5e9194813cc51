// Package stages plans the stages of jobs in a daemon and lets the daemons of a fleet
// share one planner: of the hosts that may be called, the first in rank order
// (fleet.Host) plans for all. It drives the state machine of core/stage with real time,
// peer sessions and calls to replicas.
//
// A daemon, the owner of its jobs, submits each job to the planner over a peer session
// and polls for the outcome. If a planner does not answer in time, its jobs are delayed
// by that time and submitted to the next planner, at last to the daemon's own. A piece
// may then run twice, which the platform allows. Results are not mixed, since each
// planner uses only results of its own calls and those that the owner passes to it with
// the job.
//
// A daemon that has just started submits no jobs until its fleet has formed, which takes
// up to one second.
//
// A planner that becomes unreachable does not know whether its jobs have been handed over
// to another planner. On its own it releases only results that it has not reported to the
// owner. It releases reported results only after the owner acknowledges the report: each
// answer to a poll that reports pieces carries a number, and the next poll carries the
// number of the last answer received. Results that are never acknowledged expire at the
// replica.
//
// A planner drops jobs that their owner has not polled for a while, and does not
// release the results that it has reported to the owner.
package stages
