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
// parameters key and request_id; with summary=1 it answers a Summary. DELETE
// empties the ledger.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		l.Reset()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	q := r.URL.Query()
	if q.Get("summary") != "" {
		standin.WriteJSON(w, http.StatusOK, l.Summary())
		return
	}
	list := List{Entries: []Entry{}}
	for _, e := range l.Entries() {
		if k := q.Get("key"); k != "" && k != e.Key {
			continue
		}
		if id := q.Get("request_id"); id != "" && id != e.RequestID {
			continue
		}
		list.Entries = append(list.Entries, e)
	}
	standin.WriteJSON(w, http.StatusOK, list)
}
