// Package clock is the time by which daemons decide: steady, and counting the time
// for which the host was asleep.
//
// A suspended host's steady clock (CLOCK_MONOTONIC, by which the standard library
// compares times and runs its timers) stands still; CLOCK_BOOTTIME and the time of
// day go on. By the steady clock a view, a lease or a deadline would look as young
// after a night as before it.
//
// Now, Since and Until count the time asleep. Timers and deadlines of this package
// that came due meanwhile fire when the host wakes, and the others at their time.
// Times of this package must not be compared with time.Now, nor given to the
// standard library as deadlines: Steady translates them.
//
// Until the host first sleeps, Now is time.Now. Afterwards its time of day no longer
// follows the steps of the host's own.
//
// Contract: waking is noticed by the next call of Now, and by Watch within
// watchEvery; both compare what the time of day and the steady clock have advanced,
// which costs no system call, and ask CLOCK_BOOTTIME only where these differ, or now
// and then. All functions are safe for concurrent use.
package clock
