package origin

// Memory is what the replicas of a service keep of the last part of a stream's prompt, which
// belongs to the stream's request or its session.
type Memory struct {
	// Holding are the versions of replicas that keep all of it, sorted, each once.
	Holding []string
	// Silent are the versions of replicas that may have kept it, sorted, each once: replicas
	// that were not asked, did not answer, can't tell, or keep less than all of it.
	Silent []string
}

// NewMemory returns what replicas of the given versions keep; it sorts both lists in place.
func NewMemory(holding, silent []string) Memory {
	return Memory{Holding: unique(holding), Silent: unique(silent)}
}
