package capacity

import "time"

// Constraints of services. The engine time is split into its two parts in reports.
const (
	Calls         = "calls"
	ResultMemory  = "result_memory"
	EngineTime    = "engine_time"
	PromptReading = "prompt_reading"
	Steps         = "steps"
	Work          = "work"
)

// resource is something of which a deployment provides a fixed amount in a second: call
// time, bytes held for a second, engine time or worker time.
type resource struct {
	service, constraint string
	// parts name the parts into which reports split the constraint; usually only itself.
	parts    []string
	capacity float64
}

// demand is the amount of a resource that one request takes. It must be provided between
// release and due, counted from the arrival of the request.
type demand struct {
	resource int
	part     string
	amount   float64
	release  time.Duration
	due      time.Duration
}

// variant is the part of a kind's requests that have the same stages.
type variant struct {
	// kind is the index of the kind, and share the part of its requests.
	kind    int
	share   float64
	demands []demand
	// inTime is false if the request misses its objective on an idle deployment.
	inTime bool
}

// model is a deployment as resources and demands.
type model struct {
	resources []resource
	variants  []variant
	// byService is the index of the first resource of each service. Those of a stage
	// service follow each other: calls and result memory.
	byService map[string]int
}

func newModel(d *Deployment) *model {
	m := &model{byService: map[string]int{}}
	for _, s := range d.StageServices {
		m.add(resource{s.Name, Calls, []string{Calls}, float64(s.Replicas * s.Concurrency)})
		m.add(resource{s.Name, ResultMemory, []string{ResultMemory}, float64(s.Replicas) * float64(s.ResultMemoryBytes)})
	}
	for _, e := range d.Engines {
		m.add(resource{e.Name, EngineTime, []string{PromptReading, Steps}, float64(e.Replicas) * e.meanSpeed()})
	}
	for _, s := range d.PlainServices {
		m.add(resource{s.Name, Work, []string{Work}, float64(s.Replicas * s.Concurrency)})
	}
	for i := range d.Kinds {
		m.addVariants(d, i)
	}
	return m
}

func (m *model) add(r resource) {
	if _, ok := m.byService[r.service]; !ok {
		m.byService[r.service] = len(m.resources)
	}
	m.resources = append(m.resources, r)
}

// meanSpeed returns how much work an engine does on average, where an engine of the usual
// speed does 1.
func (e *EnginePool) meanSpeed() float64 {
	var sum float64
	for _, s := range e.Slowdowns {
		sum += 1 / s
	}
	return sum / float64(len(e.Slowdowns)) * (1 - e.SlowShare + e.SlowShare/e.SlowFactor)
}

// addVariants adds a variant for each combination of the kind's optional stages.
func (m *model) addVariants(d *Deployment, kind int) {
	k := &d.Kinds[kind]
	var optional []int
	for i, s := range k.Stages {
		if s.Share < 1 {
			optional = append(optional, i)
		}
	}
	for combination := range 1 << len(optional) {
		v := variant{kind: kind, share: 1}
		skipped := make(map[int]bool, len(optional))
		for bit, i := range optional {
			if combination>>bit&1 == 1 {
				v.share *= k.Stages[i].Share
			} else {
				v.share *= 1 - k.Stages[i].Share
				skipped[i] = true
			}
		}
		m.addDemands(&v, d, k, skipped)
		m.variants = append(m.variants, v)
	}
}

// addDemands adds the demands of a request of the kind without the skipped stages.
func (m *model) addDemands(v *variant, d *Deployment, k *Kind, skipped map[int]bool) {
	var ready time.Duration
	for _, chain := range m.chains(d, k, skipped) {
		ready = max(ready, m.addChain(v, chain, k.Objective))
	}
	first := ready
	for _, s := range d.PlainServices {
		if s.Name == k.Service {
			m.addWork(v, s, k.Objective)
			first += s.Work
		}
	}
	for _, e := range d.Engines {
		if e.Name == k.Service {
			m.addEngine(v, e, k, ready)
		}
	}
	v.inTime = first <= k.Objective
}

// link is a stage of a chain with its service.
type link struct {
	Stage
	service StageService
	// shortest is the shortest time of a call with a piece of the stage.
	shortest time.Duration
}

// chains returns the stages that are not skipped, those that read each other's results in
// one chain. A stage whose predecessor is skipped follows the one before that.
func (m *model) chains(d *Deployment, k *Kind, skipped map[int]bool) [][]link {
	services := make(map[string]StageService, len(d.StageServices))
	for _, s := range d.StageServices {
		services[s.Name] = s
	}
	var out [][]link
	var chain []link
	for i, s := range k.Stages {
		if !s.AfterPrevious && len(chain) > 0 {
			out, chain = append(out, chain), nil
		}
		if !skipped[i] {
			service := services[s.Service]
			piece := time.Duration(s.PieceTimeFactor * float64(service.PieceTime))
			chain = append(chain, link{s, service, service.CallTime + piece})
		}
	}
	if len(chain) > 0 {
		out = append(out, chain)
	}
	return out
}

// addChain adds the demands of stages that follow each other and returns the shortest time
// until the results of the last one are there.
func (m *model) addChain(v *variant, chain []link, objective time.Duration) time.Duration {
	var after time.Duration
	for _, l := range chain {
		after += l.shortest
	}
	var before time.Duration
	for _, l := range chain {
		first := m.byService[l.Service]
		after -= l.shortest
		// A full call divides its fixed time among the most pieces.
		perPiece := l.service.CallTime.Seconds()/float64(l.service.Batch) + l.PieceTimeFactor*l.service.PieceTime.Seconds()
		due := max(objective-after, before+l.shortest)
		v.demands = append(v.demands, demand{first, Calls, l.Pieces * perPiece, before, due})
		if l.ResultBytes > 0 {
			held := l.shortest + l.ReadTime
			amount := l.Pieces * float64(l.ResultBytes) * held.Seconds()
			v.demands = append(v.demands, demand{first + 1, ResultMemory, amount, before, max(objective, before+held)})
		}
		before += l.shortest
	}
	return before
}

func (m *model) addWork(v *variant, s PlainService, objective time.Duration) {
	v.demands = append(v.demands, demand{m.byService[s.Name], Work, s.Work.Seconds(), 0, max(objective, s.Work)})
}

// addEngine adds the demands of the prompt, due by the objective, and of the stream, due by
// the deadline. Times are those of an engine of the usual speed.
func (m *model) addEngine(v *variant, e EnginePool, k *Kind, ready time.Duration) {
	first := m.byService[e.Name]
	read := (k.OwnPromptTokens + k.SharedPromptTokens*(1-k.SharedCached)) / e.PromptTokensPerMs / 1000
	tokens := k.Events * e.TokensPerEvent
	// A request shares its steps with as many others as the engine runs at once. The number
	// of slots limits nothing else: with all slots taken, the engine is busy all the time.
	steps := tokens * (e.StepTime.Seconds()/float64(e.Concurrency) + e.StepTimePerRequest.Seconds())
	for _, x := range []demand{
		{first, PromptReading, read, ready, max(k.Objective, ready)},
		{first, Steps, steps, ready, max(k.Deadline, ready)},
	} {
		if x.amount > 0 {
			v.demands = append(v.demands, x)
		}
	}
}
