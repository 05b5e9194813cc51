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
	Born int64
	// FailureDomain is where it stands. Default DefaultDomain.
	FailureDomain string
	// Events is the number of events of a stream. Default 5.
	EventsPerStream int
	// Returned is called when the process has started again; nil for nothing. Born
	// is that of the new start by then.
	Returned func(*Replica)
	// ReportLag is how old the reports of an engine are.
	ReportLag time.Duration

	ledger   *Ledger
	address  string
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	behaviour Behaviour
	// pauseAfter and pause are those of PauseStreams.
	pauseAfterEvents int
	pause            time.Duration
	// frozen says that the process has stopped.
	frozen bool
	// runs are those under way, and the ended ones that reports may still list.
	runs []*execution
	// holds are those that were ever given.
	reservations map[string]*reservation
	// closed says that Close was called, down that the process has crashed and is
	// not back.
	closed, down bool
	crashes      int
	poison       Poison
	// spells are the times during which it behaved other than well, in order.
	unhealthyPeriods []unhealthyPeriod
	resultsCreated   int
	cancelled        int
	// limit is the rate of requests that every answer names; "" for none.
	rateLimit string
	// leaving says that every answer tells so.
	leaving bool
	// refusing has the replica turn all work away, and ask for so much rest, in seconds; ""
	// does not.
	refusalRetryAfter string
	arrivals          []Arrival
}

// Arrival is a request, or a call for pieces, that came to a replica.
type Arrival struct {
	At time.Time
	// Request is the caller's id; "" for a call for pieces.
	Request string
	// Rest is the rest that the replica asked for as it turned the request away, in
	// seconds as it said it; "" for none.
	Rest string
}

// spell is a time of behaviour other than well; until is zero while it lasts.
type unhealthyPeriod struct{ start, end time.Time }

// StartReplica starts a replica at address; port 0 leaves the choice to the
// kernel.
func StartReplica(ledger *Ledger, id, service string, kind Kind, address string) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &Replica{ID: id, Service: service, Kind: kind, EventsPerStream: 5, ledger: ledger, address: l.Addr().String(), reservations: map[string]*reservation{}}
	r.startServer(l)
	return r, nil
}

// serveOn starts the process.
func (r *Replica) startServer(l net.Listener) {
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
func (r *Replica) CrashUnder(p Poison) {
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
	r.recordHealth()
	_ = r.server.Close() // as above
	if down > 0 {
		time.AfterFunc(down, r.restart)
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
func (r *Replica) restart() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.mu.Unlock()
		r.ledger.recordViolation("%s: does not start again: %v", r.ID, err)
		return
	}
	r.down, r.Born = false, time.Now().UnixMilli()
	r.recordHealth()
	r.startServer(l)
	r.mu.Unlock()
	if r.Returned != nil {
		r.Returned(r)
	}
}

// Behave changes the behaviour.
func (r *Replica) Behave(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
	r.recordHealth()
}

// noteSpell notes whether the replica is other than well from now on; the caller
// holds mu.
func (r *Replica) recordHealth() {
	b := r.behaviour
	b.PauseAfterEvents, b.Pause, b.EventEvery = 0, 0, 0
	unhealthy := r.down || r.frozen || b != (Behaviour{})
	last := len(r.unhealthyPeriods) - 1
	ongoing := last >= 0 && r.unhealthyPeriods[last].end.IsZero()
	switch {
	case unhealthy && !ongoing:
		r.unhealthyPeriods = append(r.unhealthyPeriods, unhealthyPeriod{start: time.Now()})
	case !unhealthy && ongoing:
		r.unhealthyPeriods[last].end = time.Now()
	}
}

// PauseStreams has all streams pause after so many events, however the engine
// behaves else; a pause of 0 ends that. An engine that pauses does not misbehave.
func (r *Replica) PauseStreams(afterEvents int, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauseAfterEvents, r.pause = afterEvents, pause
}

// Freeze stops the process for good: what it has open is silent, and it takes
// connections on which nothing is answered.
func (r *Replica) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = true
	r.recordHealth()
}

// Vanish stops the process as Freeze does, and the port takes no connections.
func (r *Replica) FreezeUnreachable() {
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
func (r *Replica) Misbehaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unhealthyPeriods) > 0
}

// WellThrough says whether the replica behaved well all the time from one moment to
// another.
func (r *Replica) WellThrough(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.unhealthyPeriods, func(s unhealthyPeriod) bool {
		return s.start.Before(to) && (s.end.IsZero() || s.end.After(from))
	})
}

// NameLimit has every answer name a limit, as it is given; "" ends that. A replica that
// names one serves what it gets all the same.
func (r *Replica) NameLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = perSecond
}

// SayLeaving has every answer tell that the replica leaves. It serves what it gets all the
// same, and its entry says what it is registered as.
func (r *Replica) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// RefuseForRest has the replica turn all work away and ask for so much rest, in seconds as
// it says it; "" ends that. A replica that does so does not misbehave.
func (r *Replica) RefuseForRest(seconds string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusalRetryAfter = seconds
}

// Arrived returns when requests and calls for pieces came, in order.
func (r *Replica) Arrived() []time.Time {
	var times []time.Time
	for _, a := range r.Arrivals() {
		times = append(times, a.At)
	}
	return times
}

// Arrivals returns the requests and calls for pieces that came, in order.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// arrive notes a request or a call for pieces, and returns the rest with which it is turned
// away; "" if it is not.
func (r *Replica) recordArrival(requestID string) (retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{At: time.Now(), Request: requestID, Rest: r.refusalRetryAfter})
	return r.refusalRetryAfter
}

// sayOfItself adds what the replica says of itself to the head of an answer.
func (r *Replica) setNoticeHeaders(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rateLimit != "" {
		h.Set("Server-Limit", r.rateLimit)
	}
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// Made is the number of pieces that were made here.
func (r *Replica) Made() int {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.resultsCreated
}

// Cancelled returns the number of requests whose connection closed while they
// were worked on.
func (r *Replica) Cancelled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

func (r *Replica) currentBehaviour() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.behaviour
	if b.Pause == 0 && b.Silence == NoStall {
		b.PauseAfterEvents, b.Pause = r.pauseAfterEvents, r.pause
	}
	return b
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b := r.currentBehaviour()
	if r.isFrozen() {
		hang(req)
		return
	}
	if want := req.Header.Get("Expected-Replica"); want != "" && want != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	retryAfter := ""
	if !strings.HasPrefix(req.URL.Path, "/-/") || req.URL.Path == "/-/stage-run" {
		retryAfter = r.recordArrival(req.Header.Get("Attempt-Id"))
	}
	if b.Hang {
		hang(req)
		return
	}
	r.setNoticeHeaders(w.Header())
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if r.Kind == Engine && r.serveEngineCall(w, req, b) {
		return
	}
	reserved := r.useReservation(req)
	if b.RetryAfter != "" && (b.Shed || b.ShedFree) && !reserved {
		w.Header().Set("Retry-After", b.RetryAfter)
	}
	if b.Shed && !reserved {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if b.ShedFree && !reserved {
		w.Header().Set("Replica-Load", "1,0,8")
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	switch {
	case req.URL.Path == "/-/stage-run":
		r.runPieces(w, req, b)
	case req.URL.Path == "/-/report":
		r.writeStageReport(w)
	case req.URL.Path == "/-/stage-free":
		r.releaseResults(w, req)
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
func (r *Replica) serveEngineCall(w http.ResponseWriter, req *http.Request, b Behaviour) bool {
	name, isRelease := strings.CutPrefix(req.URL.Path, "/-/hold-drop/")
	isReport, isReserve := req.URL.Path == "/-/report", req.URL.Path == "/-/hold-take"
	switch {
	case !isRelease && !isReport && !isReserve:
		return false
	case b.NoOrders:
		w.WriteHeader(http.StatusNotFound)
	case isReport && b.HangReports:
		hang(req)
	case isReport:
		r.writeEngineReport(w)
	case isReserve:
		r.grantReservation(w, req, b)
	default:
		r.releaseReservation(w, name)
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
	if b.RespondBeforeBody {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		r.ledger.recordViolation("%s: body of %s not read: %v", r.ID, id, err)
		return
	}
	if !r.checkInputs(w, req, id) {
		return
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err != nil || ms <= 0 {
		r.ledger.recordViolation("%s: request %s has deadline %q", r.ID, id, req.Header.Get("Deadline-Ms"))
	}
	for _, name := range Forgeable {
		if req.Header.Get(name) == ForgedValue {
			r.ledger.recordViolation("%s: request %s has a caller's %s", r.ID, id, name)
		}
	}
	e := r.beginRun(req, id, string(body))
	defer e.recordEnd()
	if r.crashOnPoison(string(body)) {
		return
	}
	if !e.wait(req.Context(), b.Work+time.Duration(promptTokens(req))*b.ReadToken) {
		return
	}
	if b.CutBefore {
		panic(http.ErrAbortHandler)
	}
	if b.ShedSilently {
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
	r.respond(w, id, b)
	e.complete()
}

// crashesUnder ends the process if a body is its poison, and says whether it is.
func (r *Replica) crashOnPoison(body string) bool {
	r.mu.Lock()
	poison := r.poison
	r.mu.Unlock()
	if poison.Body == "" || poison.Body != body {
		return false
	}
	time.Sleep(poison.After)
	if r.Crash(poison.Down) && poison.Crashed != nil {
		poison.Crashed(poison.Body)
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
