package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind says what a replica does.
type Kind uint8

// The kinds of replicas.
const (
	// Plain replicas answer with a body of their own.
	Plain Kind = iota
	// Engine replicas answer with a stream of events.
	Engine
	// Stage replicas make pieces.
	Stage
)

// Replica is one replica of a service.
type Replica struct {
	ID      string
	Service string
	Kind    Kind
	// Born is the start of the process in Unix milliseconds; 0 is not told.
	StartUnixMS int64
	// FailureDomain is where it stands. Default DefaultDomain.
	FailureDomain string
	// Events is the number of events of a stream. Default 5.
	Events int
	// Returned is called when the process has started again; nil for nothing. Born
	// is that of the new start by then.
	OnRestart func(*Replica)
	// ReportLag is how old the reports of an engine are.
	ReportLag time.Duration

	ledger   *Ledger
	address  string
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	behaviour Behaviour
	// pauseAfter and pause are those of PauseStreams.
	pauseAfter int
	pause      time.Duration
	// frozen says that the process has stopped.
	frozen bool
	// runs are those under way, and the ended ones that reports may still list.
	runs []*execution
	// holds are those that were ever given.
	holds map[string]*hold
	// closed says that Close was called, down that the process has crashed and is
	// not back.
	closed, down bool
	crashes      int
	poison       PoisonRequest
	// spells are the times during which it behaved other than well, in order.
	spells    []spell
	handles   int
	cancelled int
	// limit is the rate of requests that every answer names; "" for none.
	limit string
	// leaving says that every answer tells so.
	leaving bool
	// refusing has the replica turn all work away, and ask for so much rest, in seconds; ""
	// does not.
	refusing string
	arrived  []Arrival
}

// Arrival is a request, or a call for pieces, that came to a replica.
type Arrival struct {
	ArrivedAt time.Time
	// Request is the caller's id; "" for a call for pieces.
	RequestID string
	// Rest is the rest that the replica asked for as it turned the request away, in
	// seconds as it said it; "" for none.
	RetryAfter string
}

// spell is a time of behaviour other than well; until is zero while it lasts.
type spell struct{ from, until time.Time }

// StartReplica starts a replica at address; port 0 leaves the choice to the
// kernel.
func StartReplica(ledger *Ledger, id, service string, kind Kind, address string) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &Replica{ID: id, Service: service, Kind: kind, Events: 5, ledger: ledger, address: l.Addr().String(), holds: map[string]*hold{}}
	r.serveOn(l)
	return r, nil
}

// serveOn starts the process.
func (r *Replica) serveOn(l net.Listener) {
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.listener = l
	server := r.server
	go func() { _ = server.Serve(l) }() // ends with Close or a crash
}

// Address returns ip:port.
func (r *Replica) Address() string { return r.address }

// Close ends the replica and its connections.
func (r *Replica) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.server.Close() // a stand-in's connections have nothing to lose
}

// CrashUnder has the process end under a body; how it behaves else does not change
// that.
func (r *Replica) SetPoisonRequest(p PoisonRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison = p
}

// Crash ends the process with its connections at once; it starts again after a
// while, unless that is 0. It says whether the process ran.
func (r *Replica) Crash(down time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.down {
		return false
	}
	r.down = true
	r.crashes++
	r.noteSpell()
	_ = r.server.Close() // as above
	if down > 0 {
		time.AfterFunc(down, r.start)
	}
	return true
}

// Crashes returns the number of crashes so far.
func (r *Replica) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// start starts the process again after a crash.
func (r *Replica) start() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.mu.Unlock()
		r.ledger.fault("%s: does not start again: %v", r.ID, err)
		return
	}
	r.down, r.StartUnixMS = false, time.Now().UnixMilli()
	r.noteSpell()
	r.serveOn(l)
	r.mu.Unlock()
	if r.OnRestart != nil {
		r.OnRestart(r)
	}
}

// Behave changes the behaviour.
func (r *Replica) SetBehaviour(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
	r.noteSpell()
}

// noteSpell notes whether the replica is other than well from now on; the caller
// holds mu.
func (r *Replica) noteSpell() {
	b := r.behaviour
	b.PauseAfterEvents, b.Pause, b.EventInterval = 0, 0, 0
	ill := r.down || r.frozen || b != (Behaviour{})
	last := len(r.spells) - 1
	lasts := last >= 0 && r.spells[last].until.IsZero()
	switch {
	case ill && !lasts:
		r.spells = append(r.spells, spell{from: time.Now()})
	case !ill && lasts:
		r.spells[last].until = time.Now()
	}
}

// PauseStreams has all streams pause after so many events, however the engine
// behaves else; a pause of 0 ends that. An engine that pauses does not misbehave.
func (r *Replica) PauseStreams(afterEvents int, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauseAfter, r.pause = afterEvents, pause
}

// Freeze stops the process for good: what it has open is silent, and it takes
// connections on which nothing is answered.
func (r *Replica) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = true
	r.noteSpell()
}

// Vanish stops the process as Freeze does, and the port takes no connections.
func (r *Replica) Vanish() {
	r.Freeze()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close() // what it has open stays open
}

func (r *Replica) isFrozen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frozen
}

// Misbehaved says whether the replica ever was made to behave other than well. To
// pause and to make events slowly is well.
func (r *Replica) WasUnhealthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.spells) > 0
}

// WellThrough says whether the replica behaved well all the time from one moment to
// another.
func (r *Replica) HealthyThroughout(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.spells, func(s spell) bool {
		return s.from.Before(to) && (s.until.IsZero() || s.until.After(from))
	})
}

// NameLimit has every answer name a limit, as it is given; "" ends that. A replica that
// names one serves what it gets all the same.
func (r *Replica) AdvertiseRateLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// SayLeaving has every answer tell that the replica leaves. It serves what it gets all the
// same, and its entry says what it is registered as.
func (r *Replica) AdvertiseLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// RefuseForRest has the replica turn all work away and ask for so much rest, in seconds as
// it says it; "" ends that. A replica that does so does not misbehave.
func (r *Replica) RefuseWithRetryAfter(seconds string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = seconds
}

// Arrived returns when requests and calls for pieces came, in order.
func (r *Replica) ArrivalTimes() []time.Time {
	var times []time.Time
	for _, a := range r.Arrivals() {
		times = append(times, a.ArrivedAt)
	}
	return times
}

// Arrivals returns the requests and calls for pieces that came, in order.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrived)
}

// arrive notes a request or a call for pieces, and returns the rest with which it is turned
// away; "" if it is not.
func (r *Replica) arrive(request string) (rest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, Arrival{ArrivedAt: time.Now(), RequestID: request, RetryAfter: r.refusing})
	return r.refusing
}

// sayOfItself adds what the replica says of itself to the head of an answer.
func (r *Replica) sayOfItself(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit != "" {
		h.Set("Server-Limit", r.limit)
	}
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// Made is the number of pieces that were made here.
func (r *Replica) PiecesExecuted() int {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.handles
}

// Cancelled returns the number of requests whose connection closed while they
// were worked on.
func (r *Replica) Cancelled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

func (r *Replica) current() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.behaviour
	if b.Pause == 0 && b.Stall == Speaking {
		b.PauseAfterEvents, b.Pause = r.pauseAfter, r.pause
	}
	return b
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b := r.current()
	if r.isFrozen() {
		hang(req)
		return
	}
	if want := req.Header.Get("Expected-Replica"); want != "" && want != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rest := ""
	if !strings.HasPrefix(req.URL.Path, "/-/") || req.URL.Path == "/-/stage-run" {
		rest = r.arrive(req.Header.Get("Attempt-Id"))
	}
	if b.Hang {
		hang(req)
		return
	}
	r.sayOfItself(w.Header())
	if rest != "" {
		w.Header().Set("Retry-After", rest)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if r.Kind == Engine && r.order(w, req, b) {
		return
	}
	held := r.useHold(req)
	if b.RetryAfter != "" && (b.Shed || b.ShedWithFreeSlots) && !held {
		w.Header().Set("Retry-After", b.RetryAfter)
	}
	if b.Shed && !held {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if b.ShedWithFreeSlots && !held {
		w.Header().Set("Replica-Load", "1,0,8")
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	switch {
	case req.URL.Path == "/-/stage-run":
		r.runPieces(w, req, b)
	case req.URL.Path == "/-/report":
		r.report(w)
	case req.URL.Path == "/-/stage-free":
		r.freePieces(w, req)
	default:
		r.serve(w, req, b)
	}
}

// hang answers nothing until the connection closes.
func hang(req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body) // a connection is only seen to close behind the body
	<-req.Context().Done()
}

// order answers the orders that engines know; it says whether it was one.
func (r *Replica) order(w http.ResponseWriter, req *http.Request, b Behaviour) bool {
	name, dropped := strings.CutPrefix(req.URL.Path, "/-/hold-drop/")
	reported, taken := req.URL.Path == "/-/report", req.URL.Path == "/-/hold-take"
	switch {
	case !dropped && !reported && !taken:
		return false
	case b.NoEngineCalls:
		w.WriteHeader(http.StatusNotFound)
	case reported && b.HangReports:
		hang(req)
	case reported:
		r.reportRuns(w)
	case taken:
		r.takeHold(w, req, b)
	default:
		r.dropHold(w, name)
	}
	return true
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs a caller's request.
func (r *Replica) serve(w http.ResponseWriter, req *http.Request, b Behaviour) {
	id := req.Header.Get("Attempt-Id")
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if b.Early {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		r.ledger.fault("%s: body of %s not read: %v", r.ID, id, err)
		return
	}
	if !r.inputsHeld(w, req, id) {
		return
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err != nil || ms <= 0 {
		r.ledger.fault("%s: request %s has deadline %q", r.ID, id, req.Header.Get("Deadline-Ms"))
	}
	for _, name := range ForgeableHeaders {
		if req.Header.Get(name) == ForgedValue {
			r.ledger.fault("%s: request %s has a caller's %s", r.ID, id, name)
		}
	}
	e := r.begin(req, id, string(body))
	defer e.finish()
	if r.crashesUnder(string(body)) {
		return
	}
	if !e.wait(req.Context(), b.ServiceTime+time.Duration(promptTokens(req))*b.PrefillPerToken) {
		return
	}
	if b.AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	if b.UnavailableAfterRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Load", "1,0,8")
	if !b.Unsigned {
		w.Header().Set("Response-Signature", "signed."+r.ID+"."+id)
	}
	if r.Kind == Engine && b.Status == 0 {
		r.stream(w, req, e, b)
		return
	}
	r.whole(w, id, b)
	e.complete()
}

// crashesUnder ends the process if a body is its poison, and says whether it is.
func (r *Replica) crashesUnder(body string) bool {
	r.mu.Lock()
	poison := r.poison
	r.mu.Unlock()
	if poison.Body == "" || poison.Body != body {
		return false
	}
	time.Sleep(poison.CrashDelay)
	if r.Crash(poison.Downtime) && poison.OnCrash != nil {
		poison.OnCrash(poison.Body)
	}
	return true
}

// promptTokens is the length of the prompt that a request declares; 0 without.
func promptTokens(req *http.Request) int {
	prompt, _, _ := strings.Cut(req.Header.Get("Token-Usage"), ",")
	n, err := strconv.Atoi(prompt)
	if err != nil {
		return 0
	}
	return n
}
