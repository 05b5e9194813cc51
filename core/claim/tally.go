package claim

import "slices"

// Tally counts votes of holders over quorums. It is not safe for concurrent
// use.
type Tally struct {
	quorums []Quorum
	yes     map[string]bool
}

// NewTally returns a tally without votes.
func NewTally(quorums []Quorum) *Tally {
	return &Tally{quorums: quorums, yes: make(map[string]bool)}
}

// Holders returns every holder of the quorums once.
func (t *Tally) Holders() []string {
	var all []string
	for _, q := range t.quorums {
		for _, h := range q.Holders {
			if !slices.Contains(all, h) {
				all = append(all, h)
			}
		}
	}
	return all
}

// Count notes a holder's vote.
func (t *Tally) Count(holder string, yes bool) { t.yes[holder] = yes }

// Reached says whether a majority of each quorum has voted yes.
func (t *Tally) Reached() bool {
	for _, q := range t.quorums {
		n := 0
		for _, h := range q.Holders {
			if t.yes[h] {
				n++
			}
		}
		if n < majority(len(q.Holders)) {
			return false
		}
	}
	return len(t.quorums) > 0
}
