package origin

// Memory is what the replicas of a service keep of the last part of a stream's prompt, which
// belongs to the stream's request or its session.
type Memory struct {
	// Holding are the versions of replicas that keep it, sorted, each once.
	Holding []string
	// Silent are the versions of replicas that may keep it, sorted, each once: replicas that
	// were not asked, did not answer or can't tell.
	Silent []string
}

// NewMemory returns what replicas of the given versions keep; it sorts both lists in place.
func NewMemory(holding, silent []string) Memory {
	return Memory{Holding: unique(holding), Silent: unique(silent)}
}
