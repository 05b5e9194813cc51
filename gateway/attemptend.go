package gateway

// attemptEnd says how one attempt at a replica ended.
type attemptEnd uint8

const (
	// answered: the caller has its answer.
	answered attemptEnd = iota
	// notSent: no connection could be established.
	notSent
	// notExecuted: the replica says that it did not run the request.
	notExecuted
	// inputsGone: as notExecuted, because stage results no longer exist.
	inputsGone
	// failed: the request may have run, and no usable answer came.
	failed
	// oversized: as failed, and the replica sent more bytes than any answer may have.
	oversized
	// malformed: as failed, and the head of the replica's answer is not valid.
	malformed
	// noMemory: as failed, since this host had no memory left for the answer.
	noMemory
	// panicked: as failed, since this host's code panicked.
	panicked
	// failedRetrying: as failed, and the retry is already allowed.
	failedRetrying
	// stalled: this host cancelled the attempt in favour of a reserved replacement.
	stalled
	// abandoned: the caller disconnected or the deadline passed.
	abandoned
)

// String is the value in metrics and logs.
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
	case oversized:
		return "oversized"
	case malformed:
		return "malformed"
	case noMemory:
		return "no_memory"
	case panicked:
		return "panicked"
	case stalled:
		return "left"
	case abandoned:
		return "abandoned"
	}
	return "failed"
}

// needsRetry reports whether another run is wanted after this end.
func (e attemptEnd) needsRetry() bool { return e != answered && e != abandoned }
