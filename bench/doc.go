// Package bench measures the entry daemon itself: what it adds to a call, the
// processor time and memory of a request, and how both grow with the stages,
// the tokens and the requests in flight. docs/CAPACITY.md works with the slopes.
//
// The real daemon runs in the process of the benchmark, so that the process'
// processor time and heap are the daemon's alone. Callers, upstreams and the
// platform run in a second process, which the benchmark starts; both talk over
// loopback. Upstreams answer at once, so that what is measured is the daemon.
//
//	go test -run '^$' -bench . -benchtime 5000x -cpu 4 ./bench
package bench
