package site

import (
	"bytes"
	"cmp"
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

// Kind is the kind of a replica.
type Kind uint8

// The kinds of replicas.
const (
	// Plain replicas respond with a short body; see PlainBody.
	Plain Kind = iota
	// Engine replicas respond with a stream of events.
	Engine
	// Stage replicas execute pieces of stages.
	Stage
)

// Replica is a fake replica of a service.
type Replica struct {
	ID      string
	Service string
	Kind    Kind
	// StartUnixMS is the start time of the process in Unix milliseconds, for the store
	// entry; 0 means that the entry has none.
	StartUnixMS int64
	// Version is the version of its software, for the store entry and its events; "" for
	// none.
	Version string
	// FailureDomain is the failure domain of the replica. Default:
	// DefaultFailureDomain.
	FailureDomain string
	// EventsPerStream is the number of events of a stream. Default: 5.
	EventsPerStream int
	// OnRestart, if not nil, is called when the process has restarted, after
	// StartUnixMS was updated.
	OnRestart func(*Replica)
	// ReportLag is the age of the data in engine reports.
	ReportLag time.Duration
	// CacheTokens is how many tokens of prompts an engine keeps after their runs. Default:
	// 90,000.
	CacheTokens int
	// KeepsGenerated makes an engine keep the tokens that it generates with the last part of the
	// prompt, one for each event.
	KeepsGenerated bool

	ledger   *Ledger
	address  string
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	behaviour Behaviour
	// pauseAfterEvents and pause are the arguments of PauseStreams.
	pauseAfterEvents int
	pause            time.Duration
	// eventInterval is the argument of SlowStreams.
	eventInterval time.Duration
	// frozen is set while the process is frozen.
	frozen bool
	// runs are the runs in progress and the ended runs that reports may still list.
	runs []*execution
	// reservations has all reservations ever granted.
	reservations map[string]*reservation
	// closed is set after Close, down while the process has crashed and not
	// restarted.
	closed, down bool
	crashes      int
	poison       []PoisonRequest
	// unframed holds the connections of responses that end with them.
	unframed map[net.Conn]bool
	// unhealthyPeriods are the periods during which the replica was not healthy,
	// in order.
	unhealthyPeriods []unhealthyPeriod
	resultsCreated   int
	cancelled        int
	// rateLimit is the request rate limit advertised in every response; "" for none.
	rateLimit string
	// refusalLimit is the number of refusals in a second advertised in every response; "" for
	// none.
	refusalLimit string
	// leaving is set if every response advertises that the replica is leaving.
	leaving bool
	// slowdown is the fourth field of the load reports, in percent; "" for reports of three
	// fields.
	slowdown string
	// refusalRetryAfter is the Retry-After value, in seconds, with which the replica
	// refuses all work; "" if it does not.
	refusalRetryAfter string
	arrivals          []Arrival
	// silentUntil is until when requests are not processed.
	silentUntil time.Time
	// inProgress counts the requests and piece calls in progress, room is how many may be, 0
	// for no limit, and refusals are the times at which one was refused beyond that.
	inProgress, room int
	refusals         []time.Time
	// cachedParts are the parts of prompts that an engine keeps, and cachedPartsCalls the times
	// at which they were listed.
	cachedParts      partCache
	cachedPartsCalls []time.Time
}

// Arrival is a request or piece call that a replica received.
type Arrival struct {
	ArrivedAt time.Time
	// RequestID is the request id; "" for a piece call.
	RequestID string
	// RetryAfter is the Retry-After value, in seconds, with which the replica refused
	// the request; "" if it did not refuse it.
	RetryAfter string
}

// unhealthyPeriod is a period during which a replica is not healthy; end is zero
// while it lasts.
type unhealthyPeriod struct{ start, end time.Time }

// StartReplica starts a replica that listens on address. With port 0 the kernel
// chooses the port.
func StartReplica(ledger *Ledger, id, service string, kind Kind, address string) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &Replica{ID: id, Service: service, Kind: kind, EventsPerStream: 5, ledger: ledger, address: l.Addr().String(), reservations: map[string]*reservation{}, unframed: map[net.Conn]bool{}}
	r.startServer(l)
	return r, nil
}

// startServer starts the server that represents the process of the replica.
func (r *Replica) startServer(l net.Listener) {
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.listener = l
	server := r.server
	go func() { _ = server.Serve(l) }() // returns after Close or a crash
}

// Address returns the listen address as ip:port.
func (r *Replica) Address() string { return r.address }

// Close stops the replica and closes its connections.
func (r *Replica) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.server.Close() // errors on closing the connections of a fake do not matter
	r.closeUnframed()
}

// SetPoisonRequest makes the process crash on requests, independently of its Behaviour.
func (r *Replica) SetPoisonRequest(p ...PoisonRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison = p
}

// Crash ends the process and closes its connections immediately. The process restarts
// after down, or never if down is 0. Crash reports whether the process was running.
func (r *Replica) Crash(down time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.down {
		return false
	}
	r.down = true
	r.crashes++
	r.recordHealth()
	_ = r.server.Close() // see Close
	r.closeUnframed()
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

// restart starts the process again after a crash.
func (r *Replica) restart() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.mu.Unlock()
		r.ledger.recordViolation("%s: restart after a crash failed: %v", r.ID, err)
		return
	}
	r.down, r.StartUnixMS = false, time.Now().UnixMilli()
	r.cachedParts.restart()
	r.recordHealth()
	r.startServer(l)
	r.mu.Unlock()
	if r.OnRestart != nil {
		r.OnRestart(r)
	}
}

// startUnixMS returns StartUnixMS, which a restart changes.
func (r *Replica) startUnixMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.StartUnixMS
}

// SetBehaviour sets the behaviour.
func (r *Replica) SetBehaviour(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
	r.recordHealth()
}

// recordHealth records whether the replica is healthy from now on. Pauses and slow
// events do not make it unhealthy. The caller holds mu.
func (r *Replica) recordHealth() {
	b := r.behaviour
	b.PauseAfterEvents, b.Pause, b.EventInterval = 0, 0, 0
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

// PauseStreams makes all streams pause after afterEvents events, unless the Behaviour
// has a Pause or Stall of its own. A pause of 0 removes it. An engine that pauses
// counts as healthy.
func (r *Replica) PauseStreams(afterEvents int, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauseAfterEvents, r.pause = afterEvents, pause
}

// SlowStreams sets the interval between the events of all streams that begin from now on, unless
// the Behaviour has an interval of its own. 0 restores the default. An engine whose streams are
// slow counts as healthy.
func (r *Replica) SlowStreams(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventInterval = interval
}

// Freeze freezes the process permanently: its open connections stall, and it accepts
// new ones but sends no responses.
func (r *Replica) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = true
	r.recordHealth()
}

// FreezeUnreachable freezes the process like Freeze and makes the port refuse new
// connections.
func (r *Replica) FreezeUnreachable() {
	r.Freeze()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close() // open connections stay open
}

func (r *Replica) isFrozen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frozen
}

// WasUnhealthy reports whether the replica was ever unhealthy. Pauses and slow events
// do not count.
func (r *Replica) WasUnhealthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unhealthyPeriods) > 0
}

// HealthyThroughout reports whether the replica was healthy for the whole time between
// from and to.
func (r *Replica) HealthyThroughout(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.unhealthyPeriods, func(period unhealthyPeriod) bool {
		return period.start.Before(to) && (period.end.IsZero() || period.end.After(from))
	})
}

// AnnounceRateLimit makes every response advertise the given rate limit verbatim; ""
// ends that. The replica does not enforce the limit.
func (r *Replica) AnnounceRateLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = perSecond
}

// AnnounceRefusalLimit makes every response advertise how many calls the replica can refuse in
// a second, verbatim; "" ends that.
func (r *Replica) AnnounceRefusalLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusalLimit = perSecond
}

// AnnounceLeaving makes every response advertise that the replica is leaving. The
// replica still serves requests, and its store entry does not change.
func (r *Replica) AnnounceLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// ReportSlowdown makes every response carry a load report with the given fourth field,
// verbatim, also refusals and responses to short calls; "" ends that. The replica does not
// become slower.
func (r *Replica) ReportSlowdown(percent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = percent
}

// loadReport returns a load report with the given first three fields.
func (r *Replica) loadReport(load string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowdown == "" {
		return load
	}
	return load + "," + r.slowdown
}

// Load reports of a replica that runs one request, and of one that is full.
const (
	usualLoad = "1,0,8"
	fullLoad  = "8,0,8"
)

// refuseAsFull refuses a request. A replica that reports its slowdown reports that it is full.
func (r *Replica) refuseAsFull(w http.ResponseWriter) {
	if w.Header().Get("Replica-Load") != "" {
		w.Header().Set("Replica-Load", r.loadReport(fullLoad))
	}
	refuse(w, http.StatusServiceUnavailable)
}

// RefuseWithRetryAfter makes the replica refuse all work and reservations with the given
// Retry-After value in seconds, sent verbatim; "" ends that. Requests with a reservation that
// was granted before are served. The replica counts as healthy.
func (r *Replica) RefuseWithRetryAfter(seconds string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusalRetryAfter = seconds
}

// ArrivalTimes returns the times at which requests and piece calls arrived, in order.
func (r *Replica) ArrivalTimes() []time.Time {
	var times []time.Time
	for _, a := range r.Arrivals() {
		times = append(times, a.ArrivedAt)
	}
	return times
}

// Arrivals returns the requests and piece calls received, in order.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// recordArrival records a request or piece call. It returns the Retry-After value to refuse
// it with; "" if it must not be refused.
func (r *Replica) recordArrival(req *http.Request) (retryAfter string) {
	reserved := r.holdsReservation(req.Header.Get("Kv-Hold"))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reserved {
		retryAfter = r.refusalRetryAfter
	}
	r.arrivals = append(r.arrivals, Arrival{ArrivedAt: time.Now(), RequestID: req.Header.Get("Attempt-Id"), RetryAfter: retryAfter})
	return retryAfter
}

// currentRetryAfter returns the value of RefuseWithRetryAfter.
func (r *Replica) currentRetryAfter() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusalRetryAfter
}

// setNoticeHeaders sets the response headers that advertise the rate limit, that the
// replica is leaving, and its slowdown.
func (r *Replica) setNoticeHeaders(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rateLimit != "" {
		h.Set("Server-Limit", r.rateLimit)
	}
	if r.refusalLimit != "" {
		h.Set("Server-Brittle", r.refusalLimit)
	}
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.slowdown != "" {
		h.Set("Replica-Load", usualLoad+","+r.slowdown)
	}
}

// Silence makes the replica process nothing for the given time, and then go on.
func (r *Replica) Silence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(d)
}

func (r *Replica) awaitSilence() {
	r.mu.Lock()
	until := r.silentUntil
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

// limited reports whether a request counts against Behaviour.Room.
func limited(req *http.Request) bool {
	return !strings.HasPrefix(req.URL.Path, "/-/") || req.URL.Path == "/-/stage-run"
}

// enter counts a request as in progress, and reports false if there is no room for it.
func (r *Replica) enter(req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !limited(req) {
		return true
	}
	if r.room > 0 && r.inProgress >= r.room {
		r.refusals = append(r.refusals, time.Now())
		return false
	}
	r.inProgress++
	return true
}

// leave undoes enter.
func (r *Replica) leave(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limited(req) {
		r.inProgress--
	}
}

// SetRoom sets how many requests and piece calls may be in progress; more are refused. 0 means
// no limit.
func (r *Replica) SetRoom(room int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room = room
}

// Refusals returns the times at which the replica refused requests and piece calls beyond its
// room.
func (r *Replica) Refusals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.refusals)
}

// PiecesExecuted returns the number of pieces that the replica has executed.
func (r *Replica) PiecesExecuted() int {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.resultsCreated
}

// Cancelled returns the number of requests whose connection closed while they were
// in progress.
func (r *Replica) Cancelled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

// currentBehaviour returns the behaviour with PauseStreams and SlowStreams applied.
func (r *Replica) currentBehaviour() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.behaviour
	if b.Pause == 0 && b.Stall == NoStall {
		b.PauseAfterEvents, b.Pause = r.pauseAfterEvents, r.pause
	}
	if b.EventInterval == 0 {
		b.EventInterval = r.eventInterval
	}
	return b
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.awaitSilence()
	b := r.currentBehaviour()
	if b.Unframed {
		body, err := io.ReadAll(req.Body) // not possible later
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		u, err := r.unframe(w)
		if err != nil {
			r.ledger.recordViolation("%s: %v", r.ID, err)
			return
		}
		defer u.close()
		w = u
	}
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
	switch {
	case limited(req):
		retryAfter = r.recordArrival(req)
	case req.URL.Path == reservePath:
		retryAfter = r.currentRetryAfter()
	}
	if b.Hang {
		hang(req)
		return
	}
	if b.Endless != NotEndless && strings.HasPrefix(req.URL.Path, "/-/") {
		_, _ = io.Copy(io.Discard, req.Body) // the caller may have disconnected
		r.sendEndless(w, "", b)
		return
	}
	r.setNoticeHeaders(w.Header())
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		r.refuseAsFull(w)
		return
	}
	if r.Kind == Engine && r.serveEngineCall(w, req, b) {
		return
	}
	reserved := r.useReservation(req)
	if b.RetryAfter != "" && (b.Shed || b.ShedWithFreeSlots) && !reserved {
		w.Header().Set("Retry-After", b.RetryAfter)
	}
	if b.Shed && !reserved || !r.enter(req) {
		r.refuseAsFull(w)
		return
	}
	defer r.leave(req)
	if b.Raw != nil && limited(req) {
		r.sendRaw(w, req, b.Raw)
		return
	}
	if b.ShedWithFreeSlots && !reserved {
		w.Header().Set("Replica-Load", r.loadReport(usualLoad))
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

// hang waits until the connection closes, without sending a response.
func hang(req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body) // the server detects a closed connection only after it has read the body
	<-req.Context().Done()
}

// serveEngineCall serves engine report and reservation calls, and lists of cached parts. It
// reports whether the request was one.
func (r *Replica) serveEngineCall(w http.ResponseWriter, req *http.Request, b Behaviour) bool {
	if r.serveMove(w, req, b) {
		return true
	}
	name, isRelease := strings.CutPrefix(req.URL.Path, "/-/hold-drop/")
	isReport, isReserve, isList := req.URL.Path == "/-/report", req.URL.Path == reservePath, req.URL.Path == cachedPartsPath
	switch {
	case !isRelease && !isReport && !isReserve && !isList:
		return false
	case b.NoEngineCalls:
		w.WriteHeader(http.StatusNotFound)
	case isReport && b.HangReports:
		hang(req)
	case isReport:
		r.writeEngineReport(w)
	case isList:
		time.Sleep(b.ListDelay)
		r.writeCachedParts(w)
	case isReserve:
		r.grantReservation(w, req, b)
	default:
		r.releaseReservation(w, name)
	}
	return true
}

// refuse responds with status and marks the request as not executed.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// serve executes a client request.
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
		r.ledger.recordViolation("%s: reading the body of request %s failed: %v", r.ID, id, err)
		return
	}
	if !r.checkInputs(w, req, id) || !r.useRunCopy(w, req, id) {
		return
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err != nil || ms <= 0 {
		r.ledger.recordViolation("%s: request %s has invalid deadline %q", r.ID, id, req.Header.Get("Deadline-Ms"))
	}
	for _, name := range ForgeableHeaders {
		if req.Header.Get(name) == ForgedValue {
			r.ledger.recordViolation("%s: request %s has a forged %s header", r.ID, id, name)
		}
	}
	e := r.beginRun(req, id, string(body), b.EventIDs)
	defer e.recordEnd()
	poison := r.poisonOf(e.run)
	if poison != nil && poison.Part == "" {
		r.crashOn(*poison)
		return
	}
	if !e.wait(req.Context(), b.ServiceTime+time.Duration(promptTokens(req))*b.PrefillPerToken) {
		return
	}
	e.keepPrompt(req)
	if poison != nil {
		r.crashOn(*poison)
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
	if b.OtherRequest {
		w.Header().Set("Attempt-Id", id+"-other")
	}
	w.Header().Set("Replica-Load", r.loadReport(usualLoad))
	if !b.Unsigned {
		w.Header().Set("Response-Signature", "signed."+r.ID+"."+id)
	}
	if b.Endless != NotEndless {
		r.sendEndless(w, id, b)
		e.cancel()
		return
	}
	if r.Kind == Engine && b.Status == 0 {
		r.stream(w, req, e, b)
		return
	}
	if !r.respond(w, req, e, b) {
		return
	}
	e.complete()
}

// poisonOf returns what makes a run crash the process, or nil.
func (r *Replica) poisonOf(run *Run) *PoisonRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.poison {
		if p.Body != "" && p.Body == run.Body || p.Part != "" && slices.Contains(run.SharedParts, p.Part) {
			return &p
		}
	}
	return nil
}

// crashOn crashes the process after the delay.
func (r *Replica) crashOn(p PoisonRequest) {
	time.Sleep(p.CrashDelay)
	if r.Crash(p.Downtime) && p.OnCrash != nil {
		p.OnCrash(cmp.Or(p.Body, p.Part))
	}
}

// sharedParts returns the IDs of the parts of a request's prompt, without the last one.
func sharedParts(req *http.Request) []string {
	var ids []string
	for part := range strings.SplitSeq(req.Header.Get("Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// promptTokens returns the number of prompt tokens that a request declares, or 0 if
// it declares none.
func promptTokens(req *http.Request) int {
	prompt, _, _ := strings.Cut(req.Header.Get("Token-Usage"), ",")
	n, err := strconv.Atoi(prompt)
	if err != nil {
		return 0
	}
	return n
}
