package stage

// A transferable job has an owner: the daemon that another daemon plans for. If that
// planner seems lost, the owner submits the job to the next planner, with the results that
// were reported to the owner. The messages of both planners may be lost, so neither knows
// what the other does, and if both released a result, one would take it from the other's
// readers. The rule is therefore: a planner on its own releases only results that were not
// reported to the owner. Results reported to the owner are released
//
//   - once the owner has acknowledged (ProgressAcked) all pieces that read them: from then on
//     it no longer passes them to another planner, and the next planner does not use them
//     (restore);
//   - when the owner cancels the job (Cancelled).
//
// If neither happens, the results expire at the replica.

// restore takes over the pieces that an earlier planner completed, if the replicas that
// hold them are still there.
func (m *Machine) restore(j *job) {
	read := j.alreadyRead()
	for _, old := range j.Completed {
		if p := j.pieceFor(old); p != nil && !read[old.Stage] {
			m.restorePiece(p, old)
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		if read[i] && j.readersComplete(i) {
			j.markSkipped(i)
		}
	}
}

// restorePiece takes over one piece.
func (m *Machine) restorePiece(p *piece, old CompletedPiece) {
	r, j := m.replicas[old.Replica], p.job
	if p.state == completed || r == nil || !r.listed || r.service != j.stages[p.stage].service {
		return
	}
	p.state, p.handle, p.holder, p.lastReplica = completed, old.Handle, r, r
	p.reported, p.acked = true, true
	j.addRemaining(p.stage, -1)
	r.usedBytes += p.resultBytes()
}

// pieceFor returns the piece that another planner or the job's owner reports as completed;
// nil if the job has no such piece.
func (j *job) pieceFor(completed CompletedPiece) *piece {
	if completed.Stage < 0 || completed.Stage >= len(j.stages) {
		return nil
	}
	pieces := j.stages[completed.Stage].pieces
	if completed.Index < 0 || completed.Index >= len(pieces) {
		return nil
	}
	return &pieces[completed.Index]
}

// alreadyRead returns, for each stage, whether its results have been read by pieces that
// the owner knows to be completed: an earlier planner may have released them.
func (j *job) alreadyRead() []bool {
	known := make([]map[int]bool, len(j.stages))
	for _, old := range j.Completed {
		if j.pieceFor(old) == nil {
			continue
		}
		if known[old.Stage] == nil {
			known[old.Stage] = map[int]bool{}
		}
		known[old.Stage][old.Index] = true
	}
	read := make([]bool, len(j.stages))
	for i := range j.stages {
		read[i] = j.readersHavePieces(i)
		for _, k := range j.stages[i].readers {
			read[i] = read[i] && len(known[k]) == len(j.stages[k].pieces)
		}
	}
	return read
}

// markSkipped marks a stage as complete without having its results, as no piece reads them
// any more.
func (j *job) markSkipped(i int) {
	st := &j.stages[i]
	st.released = true
	for k := range st.pieces {
		st.pieces[k].state = completed
	}
	j.addRemaining(i, -st.remaining)
}

// readersHavePieces reports whether any stage that reads stage i has pieces.
func (j *job) readersHavePieces(i int) bool {
	for _, k := range j.stages[i].readers {
		if len(j.stages[k].pieces) > 0 {
			return true
		}
	}
	return false
}

// readersComplete reports whether all stages that read stage i are complete.
func (j *job) readersComplete(i int) bool {
	for _, k := range j.stages[i].readers {
		if j.stages[k].remaining > 0 {
			return false
		}
	}
	return true
}

// readersAcked reports whether the job's owner has acknowledged all pieces that read stage
// i.
func (j *job) readersAcked(i int) bool {
	for _, k := range j.stages[i].readers {
		st := &j.stages[k]
		for n := range st.pieces {
			if !st.pieces[n].acked {
				return false
			}
		}
	}
	return true
}

// releaseTransferable releases the results of a stage of a transferable job that have been
// read. If some of them need the owner's acknowledgement, the owner is notified.
func (m *Machine) releaseTransferable(j *job, i int) {
	st := &j.stages[i]
	st.released = true
	if j.readersAcked(i) {
		m.releaseStage(st)
		return
	}
	if m.releaseUnreported(st) {
		m.emit(NotifyOwner{Job: j.ID})
	}
}

// releaseUnreported releases the results of a stage that were not reported to the job's
// owner. It returns whether it kept others.
func (m *Machine) releaseUnreported(st *stageState) (kept bool) {
	for k := range st.pieces {
		p := &st.pieces[k]
		if p.reported && p.holder != nil {
			kept = true
			continue
		}
		m.releasePiece(p)
	}
	return kept
}

// progressSent records which results are being reported to the owners of jobs.
func (m *Machine) progressSent(e ProgressSent) {
	for _, t := range e.Pieces {
		if p := m.completedPiece(t); p != nil {
			p.reported = true
		}
	}
}

// progressAcked records which results the owners of jobs have acknowledged, and releases
// the results that were kept until then.
func (m *Machine) progressAcked(e ProgressAcked) {
	for _, t := range e.Pieces {
		p := m.completedPiece(t)
		if p == nil {
			continue
		}
		p.acked = true
		for _, i := range p.job.Stages[p.stage].DependsOn {
			if st := &p.job.stages[i]; st.released && p.job.readersAcked(i) {
				m.releaseStage(st)
			}
		}
	}
}

// completedPiece returns the piece of a job in progress whose result is the given one, or
// nil.
func (m *Machine) completedPiece(t Progress) *piece {
	j := m.jobs[t.Job]
	if j == nil {
		return nil
	}
	p := j.pieceFor(t.Piece)
	if p == nil || p.state != completed || p.handle != t.Piece.Handle {
		return nil
	}
	return p
}

// releaseRefused releases the results of a refused job, except those reported to its owner.
// It returns whether it kept any.
func (m *Machine) releaseRefused(j *job) (kept bool) {
	for i := range j.stages {
		st := &j.stages[i]
		if !j.Transferable {
			m.releaseStage(st)
			continue
		}
		kept = m.releaseUnreported(st) || kept
	}
	if kept {
		m.refused[j.ID] = j
	}
	return kept
}

// cancel ends a job that is no longer needed here.
func (m *Machine) cancel(e Cancelled) {
	j := m.remove(e.Job)
	if j == nil {
		return
	}
	for i := range j.stages {
		st := &j.stages[i]
		if e.HandedOver {
			m.releaseUnreported(st)
			m.forgetResults(st)
		}
		m.releaseStage(st)
	}
}

// forgetResults drops the results of a stage without releasing them: another planner
// releases them, or they expire.
func (m *Machine) forgetResults(st *stageState) {
	st.released = true
	for k := range st.pieces {
		p := &st.pieces[k]
		if p.holder == nil {
			continue
		}
		p.holder.usedBytes = max(0, p.holder.usedBytes-p.resultBytes())
		p.holder.service.dirty = true
		p.holder = nil
	}
}
