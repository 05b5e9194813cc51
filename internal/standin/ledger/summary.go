package ledger

// maxDuplicatedKeysListed limits the number of keys in Summary.DuplicatedKeys.
const maxDuplicatedKeysListed = 1000

// Totals are the counts and costs of a set of executions.
type Totals struct {
	Started   int `json:"begun"`
	Running   int `json:"running"`
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// Leaving counts executions started while their replica was leaving.
	Leaving  int     `json:"leaving"`
	EngineMS float64 `json:"engine_ms"`
	// WastedEngineMS is the part of EngineMS spent on executions that were
	// cancelled or failed.
	WastedEngineMS float64 `json:"wasted_engine_ms"`
	Tokens         int     `json:"tokens"`
	// RepeatedRequests counts the executions of the same request and stage
	// after the first, in any state: retries, hedges and duplicates.
	RepeatedRequests int `json:"repeated_requests"`
}

// DuplicatedKey is an idempotency key that was executed more than once at a stage.
type DuplicatedKey struct {
	Customer   string `json:"customer"`
	Key        string `json:"key"`
	Stage      string `json:"stage"`
	Executions int    `json:"executions"`
}

// Summary summarizes the entries of a ledger.
type Summary struct {
	Total  Totals            `json:"total"`
	Stages map[string]Totals `json:"stages"`
	// Deduplicated counts calls answered with the result of an earlier
	// execution.
	Deduplicated int `json:"deduplicated"`
	// DuplicatedKeyCount counts keys executed more than once at a stage, not
	// counting cancelled executions. DuplicatedKeys lists the first 1000 of them.
	DuplicatedKeyCount int             `json:"doubled_keys"`
	DuplicatedKeys     []DuplicatedKey `json:"doubles"`
	// Overwritten counts entries overwritten because of the ledger's limit.
	Overwritten int `json:"overwritten"`
}

type executionKey struct{ customer, key, stage string }

type requestStage struct{ requestID, stage string }

// Summary returns the summary of all entries.
func (l *Ledger) Summary() Summary { return l.summary(filter{}) }

func (l *Ledger) summary(f filter) Summary {
	l.mu.Lock()
	s := Summary{
		Stages:         map[string]Totals{},
		DuplicatedKeys: []DuplicatedKey{},
		Deduplicated:   l.deduplicated,
		Overwritten:    int(l.oldestID() - l.firstID),
	}
	l.mu.Unlock()
	executions := map[executionKey]int{}
	var duplicated []executionKey
	seen := map[requestStage]bool{}
	for _, e := range l.filtered(f) {
		id := requestStage{e.RequestID, e.Stage}
		stage := s.Stages[e.Stage]
		stage.add(e, seen[id])
		s.Stages[e.Stage] = stage
		s.Total.add(e, seen[id])
		seen[id] = true
		if e.Key == "" || e.State == Cancelled {
			continue
		}
		k := executionKey{e.Customer, e.Key, e.Stage}
		executions[k]++
		if executions[k] == 2 {
			duplicated = append(duplicated, k)
		}
	}
	s.DuplicatedKeyCount = len(duplicated)
	for _, k := range duplicated[:min(len(duplicated), maxDuplicatedKeysListed)] {
		s.DuplicatedKeys = append(s.DuplicatedKeys, DuplicatedKey{k.customer, k.key, k.stage, executions[k]})
	}
	return s
}

func (t *Totals) add(e Entry, repeated bool) {
	t.Started++
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
