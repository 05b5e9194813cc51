package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
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

// Behaviour is what a replica does to the requests that it gets. The zero value
// serves well.
type Behaviour struct {
	// Work is how long a request, or a call for pieces, takes.
	Work time.Duration
	// ReadToken is how long an engine reads one token of the prompt.
	ReadToken time.Duration
	// Status is answered in place of 200, after the run.
	Status int
	// Shed refuses requests with a word that they were not run.
	Shed bool
	// ShedFree refuses likewise, and tells that it has free places.
	ShedFree bool
	// ShedSilently answers 503 without that word, after the run.
	ShedSilently bool
	// CutBefore closes the connection after the run and before any answer.
	CutBefore bool
	// CutAfterEvents closes the connection inside the event after so many; 0
	// never does.
	CutAfterEvents int
	// Truncate breaks the body of an answer off.
	Truncate bool
	// Unframed sends no length.
	Unframed bool
	// Extra sends a second answer after the first.
	Extra bool
	// Unsigned leaves the signature out.
	Unsigned bool
	// Hang answers nothing until the connection closes.
	Hang bool
	// Early answers before the body was read.
	Early bool
}

// Poison is a body under which a replica's process ends.
type Poison struct {
	// Body is "" for none.
	Body string
	// After is how long it runs until the process ends, with all its connections,
	// and Down how long until it starts again under its id; 0 leaves it down.
	After, Down time.Duration
	// Crashed is told of each crash under the body; nil for nobody.
	Crashed func(body string)
}

// Replica is one replica of a service.
type Replica struct {
	ID      string
	Service string
	Kind    Kind
	// Born is the start of the process in Unix milliseconds; 0 is not told.
	Born int64
	// Events is the number of events of a stream. Default 5.
	Events int
	// Returned is called when the process has started again; nil for nothing. Born
	// is that of the new start by then.
	Returned func(*Replica)

	ledger    *Ledger
	address   string
	server    *http.Server
	mu        sync.Mutex
	behaviour Behaviour
	// closed says that Close was called, down that the process has crashed and is
	// not back.
	closed, down bool
	crashes      int
	poison       Poison
	// misbehaved says that the behaviour was ever another than the zero value.
	misbehaved bool
	handles    int
	cancelled  int
}

// StartReplica starts a replica at address; port 0 leaves the choice to the
// kernel.
func StartReplica(ledger *Ledger, id, service string, kind Kind, address string) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &Replica{ID: id, Service: service, Kind: kind, Events: 5, ledger: ledger, address: l.Addr().String()}
	r.serveOn(l)
	return r, nil
}

// serveOn starts the process.
func (r *Replica) serveOn(l net.Listener) {
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
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
	r.down, r.misbehaved = true, true
	r.crashes++
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
	r.down, r.Born = false, time.Now().UnixMilli()
	r.serveOn(l)
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
	r.misbehaved = r.misbehaved || b != (Behaviour{})
}

// Misbehaved says whether the replica ever was made to behave other than well.
func (r *Replica) Misbehaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misbehaved
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
	return r.behaviour
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b := r.current()
	if want := req.Header.Get("Expected-Replica"); want != "" && want != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.Shed {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if b.ShedFree {
		w.Header().Set("Replica-Load", "1,0,8")
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if b.Hang {
		_, _ = io.Copy(io.Discard, req.Body)
		<-req.Context().Done()
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
	for _, name := range Forgeable {
		if req.Header.Get(name) == ForgedValue {
			r.ledger.fault("%s: request %s has a caller's %s", r.ID, id, name)
		}
	}
	r.ledger.ran(Run{
		Request: id, Replica: r.ID, Service: r.Service, Tenant: req.Header.Get("Tenant"), Method: req.Method,
		Target: req.RequestURI, Body: string(body), At: time.Now(), Key: req.Header.Get("X-Api-Key") != "", After: req.Header.Get("Last-Event-Id"),
		CopyFrom: req.Header.Get("Kv-Fetch"),
	})
	r.mu.Lock()
	poison := r.poison
	r.mu.Unlock()
	if poison.Body != "" && poison.Body == string(body) {
		time.Sleep(poison.After)
		if r.Crash(poison.Down) && poison.Crashed != nil {
			poison.Crashed(poison.Body)
		}
		return
	}
	select {
	case <-time.After(b.Work + time.Duration(promptTokens(req))*b.ReadToken):
	case <-req.Context().Done():
		r.mu.Lock()
		r.cancelled++
		r.mu.Unlock()
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
	if r.Kind == Engine {
		r.stream(w, req, b)
		return
	}
	r.whole(w, id, b)
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

// Body is the body that a plain replica answers a request with.
func Body(replica, request string) string { return "answer of " + replica + " to " + request + "\n" }

func (r *Replica) whole(w http.ResponseWriter, id string, b Behaviour) {
	body := Body(r.ID, id)
	status := http.StatusOK
	if b.Status != 0 {
		status = b.Status
	}
	if !b.Unframed && !b.Extra {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if b.Extra || b.Unframed {
		r.raw(w, status, body, b)
		return
	}
	w.WriteHeader(status)
	if b.Truncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// raw writes an answer by hand: without a length, or with a second answer
// behind it.
func (r *Replica) raw(w http.ResponseWriter, status int, body string, b Behaviour) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		r.ledger.fault("%s: %v", r.ID, err)
		return
	}
	defer conn.Close()
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.Header().Write(&head)
	if b.Extra {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if b.Extra {
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	}
	_, _ = buf.WriteString(head.String())
	_ = buf.Flush()
}

// Event is event n of the stream that answers a request.
func Event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, request)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, b Behaviour) {
	id := req.Header.Get("Attempt-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= r.Events; n++ {
		e := Event(id, n)
		if b.CutAfterEvents > 0 && n-after > b.CutAfterEvents {
			_, _ = io.WriteString(w, e[:len(e)/2])
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, e); err != nil {
			return
		}
		_ = flusher.Flush()
		select {
		case <-time.After(2 * time.Millisecond):
		case <-req.Context().Done():
			r.mu.Lock()
			r.cancelled++
			r.mu.Unlock()
			return
		}
	}
}
