package stage

const (
	// MaxStagePieces bounds the pieces of one stage. The handles of that many results don't fit
	// the head of a request, in which an engine is given them.
	MaxStagePieces = 4096
	// PieceBytes is about what the state of a piece takes, its handle included.
	PieceBytes = 256
)

// TooLarge reports whether a stage of the job has more than MaxStagePieces pieces.
func (j *Job) TooLarge() bool {
	for i := range j.Stages {
		if j.Stages[i].Pieces > MaxStagePieces {
			return true
		}
	}
	return false
}

// pieces returns the number of pieces of all stages.
func (j *Job) pieces() (n int) {
	for i := range j.Stages {
		n += j.Stages[i].Pieces
	}
	return n
}

// PieceCount returns the number of pieces of all planned jobs.
func (m *Machine) PieceCount() int { return m.pieces }

// refuseForSize returns the refusal of a job whose pieces take more memory than there is for them;
// nil if it may be planned. It allocates nothing for the pieces.
func (m *Machine) refuseForSize(j *Job) *Refused {
	switch {
	case j.TooLarge():
		return &Refused{Job: j.ID, Reason: ReasonTooLarge}
	case len(j.Completed) == 0 && m.pieces+j.pieces() > m.cfg.MaxPieces:
		return &Refused{Job: j.ID, Reason: ReasonOverload, RetryAfter: m.cfg.MinRetryAfter}
	}
	return nil
}
