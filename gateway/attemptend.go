package gateway

// attemptEnd says how one attempt at a replica ended.
type attemptEnd uint8

const (
	// answered: the caller has its answer.
	answered attemptEnd = iota
	// notSent: no connection came about.
	notSent
	// notExecuted: the replica says that it did not run the request.
	notExecuted
	// inputsGone: as notExecuted, since results of stages no longer exist.
	inputsGone
	// failed: the request may have run, and no usable answer came.
	failed
	// repeatNow: as failed, and the repeat is allowed already.
	repeatNow
	// left: this host ended the attempt in favour of one that is secured.
	left
	// abandoned: the caller left or the time is over.
	abandoned
)

// String names the end in metrics and logs.
func (e attemptEnd) String() string {
	switch e {
	case answered:
		return "answered"
	case notSent:
		return "not_sent"
	case notExecuted:
		return "not_executed"
	case inputsGone:
		return "inputs_gone"
	case left:
		return "left"
	case abandoned:
		return "abandoned"
	}
	return "failed"
}

// wantsAnother says whether another run is wanted after this end.
func (e attemptEnd) wantsAnother() bool { return e != answered && e != abandoned }
