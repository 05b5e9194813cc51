package sequence

import "slices"

// maxReplicas is the number of replicas whose steps are remembered.
const maxReplicas = 64

const (
	// minVaryingReplicas is the number of replicas from which varying steps are no fault of one.
	minVaryingReplicas = 2
	// minVaryingRuns is the number of runs in a row from which those of the only replica are no
	// passing fault.
	minVaryingRuns = 5
)

// Usual is how the IDs of a service's events usually count.
type Usual struct {
	// Step is the step of most replicas; 0 if none is known.
	Step uint64
	// Varied says that the steps of most replicas vary: gaps can't be seen.
	Varied bool
}

// Steps remembers by how much the IDs of the events of a service's replicas increased in the last run
// of each. The zero value is ready to use. It is not safe for concurrent use.
type Steps struct {
	// runs has one entry for each replica, the latest one last.
	runs []runStep
}

type runStep struct {
	replica     string
	step        uint64
	differences int
	// varyingRuns is the number of the last runs in a row whose steps varied.
	varyingRuns int
}

// Observe records the step of a replica's run, 0 if it varied, and from how many differences between
// IDs it is known. A run that is shorter than one that varied may not have shown it.
func (s *Steps) Observe(replica string, step uint64, differences int) {
	next := runStep{replica: replica, step: step, differences: differences}
	if i := slices.IndexFunc(s.runs, func(r runStep) bool { return r.replica == replica }); i >= 0 {
		before := s.runs[i]
		if before.step == 0 && step != 0 && differences < before.differences {
			return
		}
		next.varyingRuns = before.varyingRuns
		s.runs = slices.Delete(s.runs, i, i+1)
	}
	if next.varyingRuns++; step != 0 {
		next.varyingRuns = 0
	}
	if len(s.runs) >= maxReplicas {
		s.runs = slices.Delete(s.runs, 0, len(s.runs)-maxReplicas+1)
	}
	s.runs = append(s.runs, next)
}

// Usual returns how most replicas count. Of steps that as many replicas have, the smallest one
// counts: a step that is too large makes gaps look regular.
func (s *Steps) Usual() (u Usual) {
	count := map[uint64]int{}
	for _, r := range s.runs {
		count[r.step]++
	}
	u.Varied = count[0] >= minVaryingReplicas && 2*count[0] > len(s.runs) || s.onlyReplicaVaries()
	delete(count, 0)
	for step, n := range count {
		if best := count[u.Step]; n > best || n == best && step < u.Step {
			u.Step = step
		}
	}
	return u
}

// onlyReplicaVaries reports whether one replica is known, and the steps of its runs keep varying.
func (s *Steps) onlyReplicaVaries() bool {
	return len(s.runs) == 1 && s.runs[0].varyingRuns >= minVaryingRuns
}
