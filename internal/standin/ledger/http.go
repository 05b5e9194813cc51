package ledger

import (
	"net/http"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// List is the response to GET /control/ledger.
type List struct {
	Entries []Entry `json:"entries"`
}

// ServeHTTP responds to GET /control/ledger with a List, filtered by the query
// parameters key, request_id and upstream. With summary=1 it responds with a
// Summary of the same entries. DELETE empties the ledger.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	l.serve(w, r, filter{
		key:       q.Get("key"),
		requestID: q.Get("request_id"),
		upstream:  q.Get("upstream"),
	})
}

// ForUpstream returns the handler for one replica of a shared ledger. It lists
// only the entries of that replica. Counts that are not derived from entries, and
// DELETE, apply to the whole ledger.
func (l *Ledger) ForUpstream(upstream string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		l.serve(w, r, filter{key: q.Get("key"), requestID: q.Get("request_id"), upstream: upstream})
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
