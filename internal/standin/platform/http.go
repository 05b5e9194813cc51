package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// admit applies faults and the limit of reads, and counts the call.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, count *int) bool {
	if !p.faults.Gate(w, r) {
		return false
	}
	delay := time.Duration(p.faults.Get().DelayMS) * time.Millisecond
	if !standin.Sleep(r.Context(), delay) {
		standin.Cut()
	}
	allowed := p.limiter.Allow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !allowed {
		p.reads.Limited++
		standin.WriteJSON(w, http.StatusTooManyRequests, standin.Refusal{Error: "too many reads"})
		return false
	}
	*count++
	return true
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has("after") {
		if p.admit(w, r, &p.reads.Values) {
			v, ok, _ := p.look(r.PathValue("key"))
			writeValue(w, v, ok)
		}
		return
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || q.Has("wait_ms") && (waitErr != nil || waitMS < 0) {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Refusal{Error: "bad after or wait_ms"})
		return
	}
	if p.admit(w, r, &p.reads.Watches) {
		p.watch(w, r, after, min(time.Duration(waitMS)*time.Millisecond, maxWait))
	}
}

// watch answers once the revision of the key is over after.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	down := p.faults.Down()
	for {
		v, ok, changed := p.look(r.PathValue("key"))
		if ok && v.revision > after {
			p.faults.AwaitThaw(r.Context())
			writeValue(w, v, ok)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-down:
			standin.Cut()
		case <-p.closed:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) look(key string) (value, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.served[key]
	return v, ok, p.changed
}

func writeValue(w http.ResponseWriter, v value, ok bool) {
	if !ok {
		standin.WriteJSON(w, http.StatusNotFound, standin.Refusal{Error: "no such key"})
		return
	}
	w.Header().Set(headerRevision, strconv.FormatUint(v.revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.body)
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		standin.WriteJSON(w, http.StatusRequestEntityTooLarge, standin.Refusal{Error: err.Error()})
		return
	}
	p.SetValue(r.PathValue("key"), body)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	if p.admit(w, r, &p.reads.Hosts) {
		standin.WriteJSON(w, http.StatusOK, p.currentHosts(time.Now()))
	}
}

// currentHosts publishes what is due and returns the list as it stands.
func (p *Platform) currentHosts(now time.Time) HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale {
		return p.hosts
	}
	for len(p.pending) > 0 && !p.pending[0].at.After(now) {
		p.hosts.Hosts = p.pending[0].hosts
		p.hosts.Revision++
		p.pending = p.pending[1:]
	}
	p.hosts.AsOfUnixMS = now.Add(-p.cfg.HostsLag).UnixMilli()
	return p.hosts
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		standin.WriteJSON(w, http.StatusRequestEntityTooLarge, standin.Refusal{Error: err.Error()})
		return
	}
	hosts, err := ParseHosts(body)
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Refusal{Error: err.Error()})
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getReads(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, p.Reads())
}

// getWeights sends a model's weights as fast as the store's limit lets it.
func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, &p.reads.Weights) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(p.cfg.WeightBytes))
	chunk := make([]byte, weightChunk)
	for left := p.cfg.WeightBytes; left > 0; {
		n := min(left, weightChunk)
		if err := p.weights.WaitN(r.Context(), n); err != nil {
			standin.Cut()
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
