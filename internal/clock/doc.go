// Package clock provides the time source for the daemons' decisions: a monotonic clock
// that includes the time for which the host was suspended.
//
// While a host is suspended its monotonic clock (CLOCK_MONOTONIC, which the standard
// library uses to compare times and run timers) does not advance, whereas CLOCK_BOOTTIME
// and the wall clock do. Measured by the monotonic clock, a membership view, a lease or
// a deadline would not age at all during a night of suspension.
//
// Now, Since and Until include suspended time. Timers and deadlines of this package
// that became due during a suspension fire when the host resumes; the others fire at
// their due time. Times of this package must not be compared with time.Now or passed to
// the standard library as deadlines; convert them with ToMonotonic.
//
// Now equals time.Now until the first suspension of the host. After it, the wall clock
// reading in the returned times no longer follows steps of the host's wall clock.
//
// A suspension is detected by the next call of Now, and by Watch within watchInterval.
// Both compare how far the wall clock and the monotonic clock have advanced, which
// needs no system call. They read CLOCK_BOOTTIME only if the two differ, and every
// maxMeasureInterval. All functions are safe for concurrent use.
package clock
