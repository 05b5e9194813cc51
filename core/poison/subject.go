package poison

// Kind is the kind of a subject.
type Kind uint8

// The kinds of subjects.
const (
	// Content: the whole content of a request.
	Content Kind = iota
	// Part: a part of the prompts of requests, which many requests may share.
	Part
)

// String is the value in logs.
func (k Kind) String() string { return [...]string{"content", "part"}[k] }

// The number of crashes from which a subject is quarantined. The users' requirements allow
// three for a request and five for a part of prompts. For a part that has not survived before,
// one crash is left to correct a wrong choice between parts that occurred together.
const (
	contentThreshold      = 3
	partThreshold         = 4
	survivedPartThreshold = 5
)

// threshold returns the number of crashes from which a subject is quarantined.
func threshold(k Kind, survivedBefore bool) int {
	switch {
	case k == Content:
		return contentThreshold
	case survivedBefore:
		return survivedPartThreshold
	}
	return partThreshold
}

// PartFingerprint identifies a part of prompts that a service processes, whichever customer
// sends it: requests of any customer crash the same replicas.
func PartFingerprint(service, id string) Fingerprint {
	return NewHasher("part", service, id, "").Sum()
}
