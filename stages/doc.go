// Package stages runs the planning of stage work in a daemon and lets the
// daemons of a fleet plan together: one of them, the first in rank of those
// that may be called (fleet.Host), plans for all. It drives core/stage by the
// clock.
//
// A daemon hands its jobs to the planner over a peer session and polls it for
// their ends. A planner that does not answer in time costs its jobs that time:
// they are handed to the next one, at last to the daemon's own. A piece may
// then be made twice, which the platform allows; its results are not mixed,
// since each planner uses only what it had made itself.
//
// A daemon that has just started has nothing planned until its fleet has
// formed, within a second.
//
// A planner drops the jobs of a daemon that it has not heard for a while.
package stages
