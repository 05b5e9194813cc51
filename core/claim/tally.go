package claim

import "slices"

// Tally counts the votes of holders for a set of quorums. It is not safe for
// concurrent use.
type Tally struct {
	quorums []Quorum
	votes   map[string]bool
}

// NewTally returns a tally without votes.
func NewTally(quorums []Quorum) *Tally {
	return &Tally{quorums: quorums, votes: make(map[string]bool)}
}

// Holders returns each holder of the quorums once.
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

// Count records a holder's vote, replacing an earlier one.
func (t *Tally) Count(holder string, yes bool) { t.votes[holder] = yes }

// Reached reports whether a majority of each quorum has voted yes.
func (t *Tally) Reached() bool {
	for _, q := range t.quorums {
		n := 0
		for _, h := range q.Holders {
			if t.votes[h] {
				n++
			}
		}
		if n < majority(len(q.Holders)) {
			return false
		}
	}
	return len(t.quorums) > 0
}
