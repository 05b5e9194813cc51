package origin

// Memory is what the replicas of a service keep of the last part of a stream's prompt, which no
// other request has. Both lists are sorted, without repeats.
type Memory struct {
	// Holding are the versions of replicas that keep it.
	Holding []string
	// Silent are the versions of replicas that were not asked, did not answer or can't tell.
	Silent []string
}
