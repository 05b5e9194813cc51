// Package estimate learns durations from measurements.
//
// Its types are decision core: they do no I/O, read no clock and start no
// goroutine. They are not safe for concurrent use.
package estimate
