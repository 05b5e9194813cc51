package stage

// The owner of a shared job, a daemon that another one plans for, hands the job to the
// next planner when this one seems lost to it, with the results that it was told of. Its
// message and this planner's may both be lost, so that neither knows what the other does,
// and of two planners that both give a result up one takes it from the other's readers.
// So there is one rule: a planner gives up by itself only what the owner was not told of.
// Results that it was told of are given up
//
//   - once it has heard (Known) of all pieces that read them: it names them to no other
//     planner as of use from then on, and the next planner leaves them alone (restore);
//   - when it gives the job up (Cancelled).
//
// Where neither comes they outlive their time at the replica.

// restore takes over the pieces that an earlier planner had made, as far as
// their makers are there.
func (m *Machine) restore(j *job) {
	read := j.readBefore()
	for _, old := range j.Made {
		if p := j.pieceOf(old); p != nil && !read[old.Stage] {
			m.restoreOne(p, old)
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		if read[i] && j.readersComplete(i) {
			j.skip(i)
		}
	}
}

// restoreOne takes over one piece.
func (m *Machine) restoreOne(p *piece, old MadePiece) {
	r, j := m.replicas[old.Replica], p.job
	if p.state == made || r == nil || !r.listed || r.service != j.stages[p.stage].service {
		return
	}
	p.state, p.handle, p.holder, p.at = made, old.Handle, r, r
	p.told, p.known = true, true
	j.count(p.stage, -1)
	r.used += p.bytes()
}

// pieceOf returns the piece that another planner, or the job's owner, names; nil if there is none.
func (j *job) pieceOf(made MadePiece) *piece {
	if made.Stage < 0 || made.Stage >= len(j.stages) {
		return nil
	}
	pieces := j.stages[made.Stage].pieces
	if made.Index < 0 || made.Index >= len(pieces) {
		return nil
	}
	return &pieces[made.Index]
}

// readBefore says of each stage whether its results have been read, by what the owner
// knows to be made: an earlier planner may have given them up.
func (j *job) readBefore() []bool {
	known := make([]map[int]bool, len(j.stages))
	for _, old := range j.Made {
		if j.pieceOf(old) == nil {
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

// skip takes a stage for complete without having its results: nobody reads them any
// more.
func (j *job) skip(i int) {
	st := &j.stages[i]
	st.freed = true
	for k := range st.pieces {
		st.pieces[k].state = made
	}
	j.count(i, -st.left)
}

// readersHavePieces says whether any stage that reads stage i is not left out.
func (j *job) readersHavePieces(i int) bool {
	for _, k := range j.stages[i].readers {
		if len(j.stages[k].pieces) > 0 {
			return true
		}
	}
	return false
}

// readersComplete says whether the stages that read stage i are complete.
func (j *job) readersComplete(i int) bool {
	for _, k := range j.stages[i].readers {
		if j.stages[k].left > 0 {
			return false
		}
	}
	return true
}

// readersKnown says whether the job's owner knows of all pieces that read stage i.
func (j *job) readersKnown(i int) bool {
	for _, k := range j.stages[i].readers {
		st := &j.stages[k]
		for n := range st.pieces {
			if !st.pieces[n].known {
				return false
			}
		}
	}
	return true
}

// freeShared gives up the results of a stage of a shared job that have been read, and
// has its owner informed where some wait for its word.
func (m *Machine) freeShared(j *job, i int) {
	st := &j.stages[i]
	st.freed = true
	if j.readersKnown(i) {
		m.freeStage(st)
		return
	}
	if m.freeUntold(st) {
		m.act(Inform{Job: j.ID})
	}
}

// freeUntold gives up the results of a stage that the job's owner was not told of, and
// says whether there are others.
func (m *Machine) freeUntold(st *stageState) (others bool) {
	for k := range st.pieces {
		p := &st.pieces[k]
		if p.told && p.holder != nil {
			others = true
			continue
		}
		m.freePiece(p)
	}
	return others
}

// told notes which results the owners of jobs are being told of.
func (m *Machine) told(e Told) {
	for _, t := range e.Pieces {
		if p := m.named(t); p != nil {
			p.told = true
		}
	}
}

// known notes which results the owners of jobs have heard of, and gives up those that
// waited for that.
func (m *Machine) known(e Known) {
	for _, t := range e.Pieces {
		p := m.named(t)
		if p == nil {
			continue
		}
		p.known = true
		for _, i := range p.job.Stages[p.stage].After {
			if st := &p.job.stages[i]; st.freed && p.job.readersKnown(i) {
				m.freeStage(st)
			}
		}
	}
}

// named returns the piece of a job that is planned, if its result is the one that is
// named.
func (m *Machine) named(t Progress) *piece {
	j := m.jobs[t.Job]
	if j == nil {
		return nil
	}
	p := j.pieceOf(t.Piece)
	if p == nil || p.state != made || p.handle != t.Piece.Handle {
		return nil
	}
	return p
}

// keepTold gives up the results of a refused job but for those that its owner was told
// of, and says whether there are any.
func (m *Machine) keepTold(j *job) (held bool) {
	for i := range j.stages {
		st := &j.stages[i]
		if !j.Shared {
			m.freeStage(st)
			continue
		}
		held = m.freeUntold(st) || held
	}
	if held {
		m.refused[j.ID] = j
	}
	return held
}

// cancel ends a job that nobody waits for here.
func (m *Machine) cancel(e Cancelled) {
	j := m.remove(e.Job)
	if j == nil {
		return
	}
	for i := range j.stages {
		st := &j.stages[i]
		if e.Moved {
			m.freeUntold(st)
			m.leaveStage(st)
		}
		m.freeStage(st)
	}
}

// leaveStage forgets the results of a stage: another planner gives them up, or they
// outlive their time.
func (m *Machine) leaveStage(st *stageState) {
	st.freed = true
	for k := range st.pieces {
		p := &st.pieces[k]
		if p.holder == nil {
			continue
		}
		p.holder.used = max(0, p.holder.used-p.bytes())
		p.holder.service.dirty = true
		p.holder = nil
	}
}
