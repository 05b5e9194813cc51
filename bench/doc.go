// Package bench measures the entry daemon: the latency that it adds to a call, the CPU
// time and memory per request, and how they grow with the number of stages, tokens and
// requests in flight. docs/CAPACITY.md uses the slopes.
//
// The real daemon runs in the process of the benchmark, so that the CPU time and heap
// of the process are those of the daemon alone. Callers, upstreams and the platform run
// in the harness, a second process that the benchmark starts; the two communicate over
// loopback. The upstreams respond immediately, so that only the daemon is measured.
//
//	go test -run '^$' -bench . -benchtime 5000x -cpu 4 ./bench
package bench
