package quarantine

import "time"

// Suspect is a run that a replica's end took along.
type Suspect struct {
	Request Fingerprint
	// Ran is how long ago the run began when the replica ended.
	Ran time.Duration
}
