package claim

// disabledChecks disables single checks of the protocol. Tests use it to show that
// the state exploration finds a violation without the check; disabledCheckCases lists
// the checks for which they do. The zero value
// leaves all checks enabled; only the tests of this package can set it.
type disabledChecks struct {
	exclusiveGrant    bool // a holder grants a key that another owner has
	releaseOwner      bool // a holder accepts a release from any owner
	releaseRound      bool // a holder accepts releases of earlier rounds
	restartAbstention bool // a restarted holder grants keys that it may have granted before
	keyTooOld         bool // a holder grants keys that it may have evicted
	keyTooNew         bool // a holder grants keys far ahead of its clock
	epochMatch        bool // a holder grants under any host list
	majority          bool // one grant per group is enough for an owner
	replyRound        bool // an owner counts grants of rounds that it released
	sentBeforeRelease bool // an owner releases after it sent the request
	endedBeforeSend   bool // an owner sends after its claim was refused
	notRunMajority    bool // an owner reports not_run without a majority that rules out a send
	digestMatch       bool // an owner returns a result with another digest
	earlierViews      bool // an owner sends no Acquire to the holders of earlier host lists
	ackMajority       bool // an earlier list retires on a single acknowledgement
	ackIncarnation    bool // acknowledgements of earlier incarnations count
	ackTime           bool // a list retires also for keys made before its acknowledgements
	startupSync       bool // a restarted daemon trusts the bundle that it finds, without syncing
	syncEcho          bool // a status sent before the restart counts towards syncing
	clockSkew         bool // a daemon with a wrong clock grants and claims
	holderIncarnation bool // an owner keeps grants of a holder's earlier incarnation
	voidedAttempts    bool // a holder grants attempts that arrived before a voided one
}
