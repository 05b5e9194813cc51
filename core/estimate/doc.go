// Package estimate estimates durations from measurements.
//
// Its types are pure decision logic: they do no I/O, read no clock and start no
// goroutines. They are not safe for concurrent use.
package estimate
