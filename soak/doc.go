// Package soak runs real gateway daemons as processes on this machine, injects
// faults into them from outside on a seeded schedule, and checks the daemons'
// guarantees against what callers and replicas observe.
//
// The faults, which may overlap:
//   - Daemons are stopped, suspended, killed and restarted by signals, and told to
//     reload their settings.
//   - Relays on the loopback interface delay, reset or blackhole the daemons'
//     connections to the store and to each other, in one or both directions, or
//     make the connections that are open at one moment a permanent blackhole.
//   - The store fails or is slow, or comes back from a copy some seconds old.
//   - Replicas abort answers, refuse, hang, drain and are replaced.
//   - API keys are revoked.
//   - Requests crash the replicas that run them, for their content or for a part of their
//     prompts.
//   - Answers, those to status calls too, end with their connections.
//   - Most new connections go to one daemon for some seconds.
//   - Engines have two software versions; callers take up streams that broke off, of two kinds of
//     requests to the same service, or send the prompt again as a new request. With Config.Sessions
//     the last parts of prompts belong to sessions.
//   - Replicas announce rate limits, announce that they are leaving, or ask the daemons
//     to back off. Engines pause inside their streams.
//   - In three of four runs replicas report how slow their machines are. The values change
//     all the time, and some are false or invalid. The guarantees are the same.
//   - Daemons lose the path to all replicas, several at a time; a signal simulates this.
//   - Replicas announce how many calls they can refuse in a second, and have less room.
//   - Replicas are silent for about a second, and go on.
//   - Replicas send bytes without end, fast or slowly, in the head or the body of every answer.
//   - An operator evacuates failure domains.
//   - Hosts are suspended; a signal simulates this to the daemon.
//
// With Config.Losses (wheatseam soak --losses), also the following. With an even seed there are
// few other faults then, so that many streams are taken up after losses.
//   - All daemons are killed at the same moment and started again together, also twice in a
//     row, or those of one failure domain, or all are replaced in turn. They have failure
//     domains then.
//   - A new software version joins before, and old ones drain and leave before, during
//     or after that.
//   - A version comes and goes while all daemons are down, or while all but one, which is
//     killed afterwards, are suspended or cut off from the store and each other.
//   - Callers keep their streams for 10 s and take them up, up to four times, at any daemon, at
//     once or after seconds, by the connections that they have open. More requests are resumable.
//
// With Config.LossInterval too (--loss-interval), all daemons are lost once in a while, each time
// beside a release, as machines in operation are. The store is not restored and no host is
// suspended then, daemons are some time apart, and callers have 20 and 6 s for the two kinds of
// requests whose streams can be taken up. How many streams are joined then says how rare that is,
// while the other runs show that it happens at all.
//
// For a long run by hand:
//
//	wheatseam soak --losses --seed N --seeds 10 --daemons 4 --callers 24 --duration 60s
//	wheatseam soak --losses --loss-interval 14s --seed N --seeds 10 --daemons 6 --callers 40 --duration 60s
//
// The report of each run says how many streams were taken up in how many attempts, and how many of
// these brought events that were checked, by evidence and by loss. That of a run with losses also
// says how many of the streams that were taken up after a loss of all daemons went on, of those for
// which two sound engines of their version had been listed since they began. A run with losses in
// which too few were taken up to check the guarantees for them has the verdict CheckedNone, which is
// no pass. The command prints the total over all seeds, and exits with 1 after a violation and with 3
// if none was found but a seed checked none.
//
// The guarantees:
//   - A request that may not be repeated runs at most once.
//   - A successful answer is complete, signed and belongs to the caller's request.
//   - If an answer says that the request has not run, it has not run and does not
//     run later.
//   - The results of stages go to the request that they belong to.
//   - A replica that drains, or whose failure domain is evacuated, gets no new work
//     after the drain bound; while the store comes back from copies, see drainLimit. Nor does a replica that announces in its answers that it is
//     leaving, from a daemon that has passed on such an answer.
//   - Daemons keep to the rate limits and the backoffs that replicas ask for, within the
//     tolerances of limits.go and backoff.go.
//   - Daemons that reach no replica serve their callers through others, at least two thirds
//     as often as those do.
//   - Replicas rarely have to refuse more calls in a second than they announced.
//   - A stream is not ended because a healthy engine pauses.
//   - A daemon does not revert to an older configuration.
//   - Retries stay within the retry budget.
//   - A graceful shutdown aborts no request.
//   - A request that has crashed three replicas is sent to only a few more, and so are all
//     requests with a part of prompts that has crashed five.
//   - No daemon needs more memory than the smallest host has.
//   - Over all attempts of its caller, those that broke off too, the events of a stream are
//     consecutive, each comes once, and all are of one software version. An answer that ends
//     without an error has the last one.
//   - Streams that are taken up while two sound engines of their version are listed go on at
//     least half as often as new ones begin, also after all daemons were lost.
//
// A run ends only processes that it started itself, by their process ids.
package soak
