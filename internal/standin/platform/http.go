package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// admit applies the injected faults and the rate limit and counts the call. It
// returns false if it has written a response.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, count *int) bool {
	if !p.faults.ApplyRequestFaults(w, r) {
		return false
	}
	delay := time.Duration(p.faults.Get().DelayMS) * time.Millisecond
	if !standin.Sleep(r.Context(), delay) {
		standin.AbortConnection()
	}
	allowed := p.limiter.Allow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !allowed {
		p.reads.Limited++
		standin.WriteJSON(w, http.StatusTooManyRequests, standin.ErrorBody{Error: "too many reads"})
		return false
	}
	*count++
	return true
}

// item is an item of the store as encoded in responses.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
	AsOf     uint64 `json:"as_of,omitempty"`
}

func (p *Platform) getItem(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == hostsKey {
		p.getHosts(w, r)
		return
	}
	if !p.admit(w, r, &p.reads.Values) {
		return
	}
	v, ok, _ := p.lookUp(key)
	if !ok {
		standin.WriteJSON(w, http.StatusNotFound, standin.ErrorBody{Error: "no such key"})
		return
	}
	standin.WriteJSON(w, http.StatusOK, item{key, v.body, v.revision, v.revision})
}

func (p *Platform) watchItem(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || waitMS < 0 {
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: "bad after or wait_ms"})
		return
	}
	if p.admit(w, r, &p.reads.Watches) {
		p.watch(w, r, q.Get("prefix"), after, min(time.Duration(waitMS)*time.Millisecond, maxWait))
	}
}

// events is the response to a watch.
type events struct {
	Events []item `json:"events"`
	AsOf   uint64 `json:"as_of"`
}

// watch responds when the revision of the key exceeds after, or without events
// when the wait ends.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	down := p.faults.Down()
	for {
		v, ok, changed := p.lookUp(key)
		if ok && v.revision > after {
			p.faults.WaitWhileFrozen(r.Context())
			standin.WriteJSON(w, http.StatusOK, events{[]item{{Key: key, Data: v.body, Revision: v.revision}}, v.revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			standin.WriteJSON(w, http.StatusOK, events{[]item{}, after})
			return
		case <-down:
			standin.AbortConnection()
		case <-p.closed:
			standin.WriteJSON(w, http.StatusOK, events{[]item{}, after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lookUp returns the value that readers see, and a channel that is closed at the
// next publication.
func (p *Platform) lookUp(key string) (value, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.served[key]
	return v, ok, p.changed
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		standin.WriteJSON(w, http.StatusRequestEntityTooLarge, standin.ErrorBody{Error: err.Error()})
		return
	}
	p.SetValue(r.PathValue("key"), body)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, &p.reads.Hosts) {
		return
	}
	list := p.currentHosts(time.Now())
	raw, err := json.Marshal(list)
	if err != nil {
		standin.WriteJSON(w, http.StatusInternalServerError, standin.ErrorBody{Error: err.Error()})
		return
	}
	standin.WriteJSON(w, http.StatusOK, item{hostsKey, raw, list.Revision + 1, list.Revision + 1})
}

// currentHosts publishes the host lists that are due and returns the current list.
func (p *Platform) currentHosts(now time.Time) HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale {
		return p.hosts
	}
	for len(p.pending) > 0 && !p.pending[0].publishAt.After(now) {
		p.hosts.Hosts = p.pending[0].hosts
		p.hosts.Revision++
		p.pending = p.pending[1:]
	}
	p.hosts.AsOfUnixMS = now.Add(-p.cfg.HostsLag).UnixMilli()
	return p.hosts
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		standin.WriteJSON(w, http.StatusRequestEntityTooLarge, standin.ErrorBody{Error: err.Error()})
		return
	}
	hosts, err := ParseHosts(body)
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: err.Error()})
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getReads(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, p.Reads())
}
