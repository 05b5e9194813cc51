package ledger

// maxListed bounds the doubled keys that a Summary lists.
const maxListed = 1000

// Totals are counts and costs over a set of executions.
type Totals struct {
	Begun     int `json:"begun"`
	Running   int `json:"running"`
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// Leaving counts executions begun while their replica was leaving.
	Leaving  int     `json:"leaving"`
	EngineMS float64 `json:"engine_ms"`
	// WastedEngineMS is the part of EngineMS spent on executions that were
	// cancelled or failed.
	WastedEngineMS float64 `json:"wasted_engine_ms"`
	Tokens         int     `json:"tokens"`
	// RepeatedRequests counts executions of a request and stage beyond the
	// first, whatever their state: retries, hedges and doubles.
	RepeatedRequests int `json:"repeated_requests"`
}

// Double is a key that was executed more than once at one stage.
type Double struct {
	Customer   string `json:"customer"`
	Key        string `json:"key"`
	Stage      string `json:"stage"`
	Executions int    `json:"executions"`
}

// Summary is the whole ledger in figures.
type Summary struct {
	Total  Totals            `json:"total"`
	Stages map[string]Totals `json:"stages"`
	// Deduplicated counts calls answered from an earlier execution.
	Deduplicated int `json:"deduplicated"`
	// DoubledKeys counts keys executed more than once at a stage, cancelled
	// executions left out; Doubles lists the first thousand.
	DoubledKeys int      `json:"doubled_keys"`
	Doubles     []Double `json:"doubles"`
	// Overwritten counts entries lost to the ledger's limit.
	Overwritten int `json:"overwritten"`
}

type doubleKey struct{ customer, key, stage string }

type requestStage struct{ request, stage string }

// Summary counts all entries.
func (l *Ledger) Summary() Summary { return l.summary(filter{}) }

func (l *Ledger) summary(f filter) Summary {
	l.mu.Lock()
	s := Summary{
		Stages:       map[string]Totals{},
		Doubles:      []Double{},
		Deduplicated: l.repeats,
		Overwritten:  int(l.oldest() - l.first),
	}
	l.mu.Unlock()
	keys := map[doubleKey]int{}
	var order []doubleKey
	requests := map[requestStage]bool{}
	for _, e := range l.filtered(f) {
		id := requestStage{e.RequestID, e.Stage}
		stage := s.Stages[e.Stage]
		stage.add(e, requests[id])
		s.Stages[e.Stage] = stage
		s.Total.add(e, requests[id])
		requests[id] = true
		if e.Key == "" || e.State == Cancelled {
			continue
		}
		k := doubleKey{e.Customer, e.Key, e.Stage}
		keys[k]++
		if keys[k] == 2 {
			order = append(order, k)
		}
	}
	s.DoubledKeys = len(order)
	for _, k := range order[:min(len(order), maxListed)] {
		s.Doubles = append(s.Doubles, Double{k.customer, k.key, k.stage, keys[k]})
	}
	return s
}

func (t *Totals) add(e Entry, repeated bool) {
	t.Begun++
	t.EngineMS += e.EngineMS
	t.Tokens += e.Tokens
	if e.Leaving {
		t.Leaving++
	}
	if repeated {
		t.RepeatedRequests++
	}
	switch e.State {
	case Running:
		t.Running++
	case Done:
		t.Done++
	case Cancelled:
		t.Cancelled++
		t.WastedEngineMS += e.EngineMS
	case Failed:
		t.Failed++
		t.WastedEngineMS += e.EngineMS
	}
}
