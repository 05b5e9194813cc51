// Package capacity calculates an upper bound on the requests that a deployment can serve in
// time: by second, by kind of request, and with the constraint that binds.
//
// Parse reads a Deployment: services with their replicas, kinds of requests with rates and
// the work of one request, and bursts. Calculate returns its Limits.
//
// # Method
//
// The work of a request is a list of demands: an amount of a resource (call time or
// result memory of a stage service, engine time, worker time of a plain service)
// that must be provided within a window of time. The window begins when the request arrives
// or when the stages before have taken their shortest time, and ends with the objective, or
// with the deadline for what follows the first event. For each resource and each interval
// of time, the demands whose windows lie within the interval cannot exceed the capacity times
// the length of the interval. Calculate finds the served part of each kind and arrival time
// that has the highest worth under these constraints, by linear programming with constraints
// that are generated when they are violated. The reported bound is the value of the dual
// solution, which is an upper bound for any non-negative prices, also if the search stops at
// its iteration limit.
//
// # What makes it an upper bound
//
// Calls are full; results are held as shortly as calls and readers allow; engines run as
// many requests at once as they can; work is divisible, moves between replicas at no cost
// and is never lost; the order is the best one with all arrivals known beforehand. Arrival
// times are rounded to a step of the time grid in the direction that leaves more time.
// Requests of one kind are taken to have the mean size: a policy that serves the small ones
// first may serve more than the bound.
//
// # Contract
//
// Nothing here does I/O, reads a clock, draws random numbers or starts a goroutine. Parse and
// Calculate are safe for concurrent use and Calculate does not modify its argument.
package capacity
