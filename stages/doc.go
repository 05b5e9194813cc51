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
// A planner that cannot be reached does not know whether its jobs have moved. It gives
// up by itself only results that their owner was not told of. Others wait for the owner's
// word: each answer to a poll that tells of pieces has a number, and the next poll says
// which number has come. Without that word they outlive their time at the replica.
//
// A planner drops the jobs that their owner has not named for a while, and leaves alone
// what it was told of.
package stages
