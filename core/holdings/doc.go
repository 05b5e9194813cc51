// Package holdings keeps the account of the bytes that a host holds for others, and decides who
// may hold more: bodies of requests, answers that slow callers read, incomplete events of streams,
// and what other parts of the host measure themselves (Measured).
//
// # Rules
//
// All kinds share Config.Limit. Bodies bring new work and may use WorkShare of it; what finishes
// requests that were passed on (answers, events) may use FinishShare, goes first, and waits until
// its WaitUntil. What is small, SmallBytes at most, may use all of it: large bodies and answers leave
// room for small ones.
//
// A customer may hold CustomerFactor times what would still be free for bodies. One customer thus
// leaves a fifth of it free, k customers together 1/(1+4k), so that there is always room for a
// customer that holds little. For small bodies, only the customer's small ones count. A host that
// holds nothing takes any body that fits. While an answer of a customer and route waits for memory,
// further requests of that customer and route don't fit, those without a body too (an ask for 0
// bytes): their answers would wait as well.
//
// Asks that wait are granted in the order finishing work, customers that hold least, arrival. A
// body for which there is no room waits only if the bytes ahead of it are expected to be released
// by its WaitUntil, at the rate of the last seconds; otherwise it is refused at once.
//
// Before bodies are made to wait, copies that only a retry would need (Retain) are given up, those
// of the customers that hold most first.
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the caller passes the time. Every
// grant must be released once, with the customer, kind and bytes that were asked for. The bytes
// granted never exceed Limit; bytes that are measured count, but aren't limited. An Account is not
// safe for concurrent use. Its state grows with the customers that hold bytes and the asks that
// wait.
package holdings
