package origin

import "slices"

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

// silentMayDecide reports whether replicas that are silent may tell which version keeps the prompt: the others
// of no two versions keep it.
func silentMayDecide(memories map[string]Memory) bool {
	holding, silent := 0, false
	for _, m := range memories {
		holding += len(m.Holding)
		silent = silent || len(m.Silent) > 0
	}
	return silent && holding <= 1
}

// keptAmong returns the only service and version whose replicas keep the prompt, if no listed
// replica of another version or service may keep it.
func keptAmong(memories map[string]Memory) (service, version string, ok bool) {
	for s, m := range memories {
		if len(m.Holding) > 0 && ok || len(m.Holding) > 1 {
			return "", "", false
		}
		if len(m.Holding) == 1 {
			service, version, ok = s, m.Holding[0], true
		}
	}
	for s, m := range memories {
		if slices.ContainsFunc(m.Silent, func(silent string) bool { return s != service || silent != version }) {
			return "", "", false
		}
	}
	return service, version, ok
}
