package ledger

import (
	"net/http"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// List is the answer to GET /control/ledger.
type List struct {
	Entries []Entry `json:"entries"`
}

// ServeHTTP answers GET /control/ledger with a List, narrowed by the query
// parameters key, request_id and upstream; with summary=1 it answers a Summary
// over the same entries. DELETE empties the ledger.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	l.serve(w, r, filter{
		key:      q.Get("key"),
		request:  q.Get("request_id"),
		upstream: q.Get("upstream"),
	})
}

// Of returns the handler of one replica that shares the ledger with others: it
// answers with the replica's own entries. Counts that are not of entries, and
// DELETE, concern the whole ledger.
func (l *Ledger) Of(upstream string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		l.serve(w, r, filter{key: q.Get("key"), request: q.Get("request_id"), upstream: upstream})
	})
}

func (l *Ledger) serve(w http.ResponseWriter, r *http.Request, f filter) {
	if r.Method == http.MethodDelete {
		l.Reset()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if r.URL.Query().Get("summary") != "" {
		standin.WriteJSON(w, http.StatusOK, l.summary(f))
		return
	}
	standin.WriteJSON(w, http.StatusOK, List{Entries: l.filtered(f)})
}
