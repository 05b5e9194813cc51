package claim

// guards takes single checks out, for the tests that show that the explorer
// notices. The zero value leaves all in place; nothing outside this package's
// tests can set it.
type guards struct {
	noExclusive      bool // a holder grants a key that another owner has
	noOwnerCheck     bool // a holder lets anyone release
	noRoundCheck     bool // a holder obeys releases of earlier rounds
	noAbstain        bool // a restarted holder grants old keys
	noTooOld         bool // a holder grants keys that it may have forgotten
	noTooNew         bool // a holder grants keys far ahead of its clock
	noViewCheck      bool // a holder grants under any host list
	noMajority       bool // an owner is content with one grant per group
	noReplyRound     bool // an owner counts grants of rounds it released
	noSentCheck      bool // an owner releases after it sent
	noEndCheck       bool // an owner sends after it was refused
	noCleanCheck     bool // an owner says not_run without a majority's word
	noReuseCheck     bool // an owner delivers a result of another digest
	noJoint          bool // the previous host list is not asked
	noAckQuorum      bool // an earlier list retires on a single acknowledgement
	noAckIncarnation bool // acknowledgements of dead incarnations count
	noAckTime        bool // a list retires for keys made before that
	noSync           bool // a restarted daemon trusts the bundle it finds
	noSyncEcho       bool // a status sent before the restart counts as caught up
	noClockCheck     bool // a daemon with a wrong clock takes part
	noIncarnation    bool // an owner keeps grants of a holder's dead incarnation
	noVoid           bool // a holder grants attempts older than a refused one
}
