package capacity

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// Bounds of the input. They keep the linear program small enough to be solved within
// seconds.
const (
	// MaxPeriod bounds the period, objectives and deadlines.
	MaxPeriod = 240 * time.Second
	// MaxBytes bounds the document.
	MaxBytes = 1_000_000
	// maxOptionalStages bounds the stages of a kind with a share below 1, and maxVariants
	// the combinations of these stages over all kinds.
	maxOptionalStages = 4
	maxVariants       = 48
	// maxValue bounds numbers, so that sums of products remain finite.
	maxValue = 1e15
	// Bounds of slowdowns, and of the factors of piece times and slow engines.
	minSlowdown, maxSlowdown = 0.01, 100
	maxFactor                = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Parse decodes and validates one YAML document. Its error names every fault with its line
// and path, one a line.
func Parse(raw []byte) (*Deployment, error) {
	if len(raw) > MaxBytes {
		return nil, fmt.Errorf("%d bytes; at most %d are allowed", len(raw), MaxBytes)
	}
	d := &Deployment{}
	r := strictyaml.Decode(raw, d)
	if !r.Unreadable() {
		c := checker{Report: r}
		c.setDefaults(d)
		c.check(d)
	}
	r.Sort()
	var faults []error
	for _, p := range r.Problems {
		faults = append(faults, errors.New(p.String()))
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return d, nil
}

// checker records the faults of a deployment. A value that could not be decoded has a fault
// already and gets no second one.
type checker struct {
	*strictyaml.Report
	stageServices, engines, answering map[string]bool
	kinds                             map[string]bool
}

// add records a fault unless the value at path or one that encloses it has one already.
func (c *checker) add(path, format string, args ...any) {
	if !c.HasProblemAt(path) {
		c.AddProblem(path, format, args...)
	}
}

// setDefaults sets the values that the document omits and whose default is not zero.
func (c *checker) setDefaults(d *Deployment) {
	for i := range d.Engines {
		e := &d.Engines[i]
		path := fmt.Sprintf("engines[%d]", i)
		if !c.Has(path + ".slowdowns") {
			e.Slowdowns = []float64{1}
		}
		c.defaultToOne(path+".slow_factor", &e.SlowFactor)
	}
	for i := range d.Kinds {
		for j := range d.Kinds[i].Stages {
			s := &d.Kinds[i].Stages[j]
			path := fmt.Sprintf("kinds[%d].stages[%d]", i, j)
			c.defaultToOne(path+".share", &s.Share)
			c.defaultToOne(path+".piece_time_factor", &s.PieceTimeFactor)
		}
	}
}

func (c *checker) defaultToOne(path string, v *float64) {
	if !c.Has(path) {
		*v = 1
	}
}

func (c *checker) check(d *Deployment) {
	if d.Period < time.Second || d.Period > MaxPeriod || d.Period%time.Second != 0 {
		c.add("period", "want whole seconds from 1s to %s, got %s", MaxPeriod, d.Period)
	}
	c.stageServices, c.engines, c.answering = map[string]bool{}, map[string]bool{}, map[string]bool{}
	c.kinds = map[string]bool{}
	names := map[string]bool{}
	for i, s := range d.StageServices {
		c.checkStageService(fmt.Sprintf("stage_services[%d]", i), s, names)
	}
	for i, e := range d.Engines {
		c.checkEngines(fmt.Sprintf("engines[%d]", i), e, names)
	}
	for i, s := range d.PlainServices {
		c.checkPlainService(fmt.Sprintf("plain_services[%d]", i), s, names)
	}
	if len(d.Kinds) == 0 {
		c.add("kinds", "want at least one kind of requests")
	}
	variants := 0
	for i, k := range d.Kinds {
		variants += c.checkKind(fmt.Sprintf("kinds[%d]", i), k)
	}
	if variants > maxVariants {
		c.add("kinds", "want at most %d combinations of optional stages in all kinds, got %d", maxVariants, variants)
	}
	for i, b := range d.Bursts {
		c.checkBurst(fmt.Sprintf("bursts[%d]", i), b, d.Period)
	}
}

func (c *checker) checkStageService(path string, s StageService, names map[string]bool) {
	c.name(path, s.Name, names)
	c.stageServices[s.Name] = true
	c.count(path+".replicas", s.Replicas)
	c.count(path+".concurrency", s.Concurrency)
	c.count(path+".batch", s.Batch)
	c.positiveTime(path+".call_time", s.CallTime)
	c.time(path+".piece_time", s.PieceTime)
	c.positive(path+".result_memory_bytes", float64(s.ResultMemoryBytes))
}

func (c *checker) checkEngines(path string, e EnginePool, names map[string]bool) {
	c.name(path, e.Name, names)
	c.engines[e.Name], c.answering[e.Name] = true, true
	c.count(path+".replicas", e.Replicas)
	c.count(path+".concurrency", e.Concurrency)
	c.positive(path+".prompt_tokens_per_ms", e.PromptTokensPerMs)
	c.positiveTime(path+".step_time", e.StepTime)
	c.time(path+".step_time_per_request", e.StepTimePerRequest)
	c.positive(path+".tokens_per_event", e.TokensPerEvent)
	if len(e.Slowdowns) == 0 {
		c.add(path+".slowdowns", "want at least one slowdown")
	}
	for i, s := range e.Slowdowns {
		if !(s >= minSlowdown && s <= maxSlowdown) {
			c.add(fmt.Sprintf("%s.slowdowns[%d]", path, i), "want %v to %v, got %v", minSlowdown, maxSlowdown, s)
		}
	}
	c.share(path+".slow_share", e.SlowShare)
	if !(e.SlowFactor >= 1 && e.SlowFactor <= maxFactor) {
		c.add(path+".slow_factor", "want a factor from 1 to %d, got %v", maxFactor, e.SlowFactor)
	}
}

func (c *checker) checkPlainService(path string, s PlainService, names map[string]bool) {
	c.name(path, s.Name, names)
	c.answering[s.Name] = true
	c.count(path+".replicas", s.Replicas)
	c.count(path+".concurrency", s.Concurrency)
	c.positiveTime(path+".work", s.Work)
}

// checkKind returns the number of combinations of the kind's optional stages.
func (c *checker) checkKind(path string, k Kind) int {
	c.name(path, k.Name, c.kinds)
	if !c.answering[k.Service] {
		c.add(path+".service", "no engines and no plain service have the name %q", k.Service)
	}
	c.positive(path+".rate", k.Rate)
	c.positive(path+".worth", k.Worth)
	if k.Priority < 0 {
		c.add(path+".priority", "want 0 or more, got %d", k.Priority)
	}
	c.positiveTime(path+".objective", k.Objective)
	c.positiveTime(path+".deadline", k.Deadline)
	if k.Deadline < k.Objective {
		c.add(path+".deadline", "want at least the objective, %s, got %s", k.Objective, k.Deadline)
	}
	c.number(path+".own_prompt_tokens", k.OwnPromptTokens)
	c.number(path+".shared_prompt_tokens", k.SharedPromptTokens)
	c.share(path+".shared_cached", k.SharedCached)
	c.number(path+".events", k.Events)
	if c.answering[k.Service] && !c.engines[k.Service] && (len(k.Stages) > 0 || k.OwnPromptTokens+k.SharedPromptTokens+k.Events > 0) {
		c.add(path, "requests to the plain service %q cannot have stages, prompt tokens or events", k.Service)
	}
	optional := 0
	for i, s := range k.Stages {
		c.checkStage(fmt.Sprintf("%s.stages[%d]", path, i), s, i)
		if s.Share < 1 {
			optional++
		}
	}
	if optional > maxOptionalStages {
		c.add(path+".stages", "want at most %d stages with a share below 1, got %d", maxOptionalStages, optional)
		return 1
	}
	return 1 << optional
}

func (c *checker) checkStage(path string, s Stage, index int) {
	if !c.stageServices[s.Service] {
		c.add(path+".service", "no stage service has the name %q", s.Service)
	}
	if !(s.Share > 0 && s.Share <= 1) {
		c.add(path+".share", "want a share above 0 and at most 1, got %v", s.Share)
	}
	if s.AfterPrevious && index == 0 {
		c.add(path+".after_previous", "the first stage has none before it")
	}
	if !(s.Pieces >= 1 && s.Pieces <= maxValue) {
		c.add(path+".pieces", "want 1 or more, got %v", s.Pieces)
	}
	c.number(path+".result_bytes", float64(s.ResultBytes))
	if !(s.PieceTimeFactor > 0 && s.PieceTimeFactor <= maxFactor) {
		c.add(path+".piece_time_factor", "want a factor above 0 and at most %d, got %v", maxFactor, s.PieceTimeFactor)
	}
	c.time(path+".read_time", s.ReadTime)
}

func (c *checker) checkBurst(path string, b Burst, period time.Duration) {
	if b.Kind != "" && !c.kinds[b.Kind] {
		c.add(path+".kind", "no kind has the name %q", b.Kind)
	}
	c.positive(path+".factor", b.Factor)
	if b.From < 0 || b.From >= period {
		c.add(path+".from", "want a time within the period of %s, got %s", period, b.From)
	}
	c.positiveTime(path+".for", b.For)
}

// name checks a name and records it. Two services, or two kinds, cannot have the same one.
func (c *checker) name(path, name string, seen map[string]bool) {
	switch {
	case !namePattern.MatchString(name):
		c.add(path+".name", "want a name of a-z, 0-9, '.', '_' and '-', at most 63 characters long, got %q", name)
	case seen[name]:
		c.add(path+".name", "the name %q is used twice", name)
	}
	seen[name] = true
}

func (c *checker) count(path string, n int) {
	if n < 1 || n > 1_000_000 {
		c.add(path, "want 1 to 1000000, got %d", n)
	}
}

func (c *checker) positive(path string, v float64) {
	if !(v > 0 && v <= maxValue) {
		c.add(path, "want a number above 0 and at most %.0e, got %v", maxValue, v)
	}
}

func (c *checker) number(path string, v float64) {
	if math.IsNaN(v) || v < 0 || v > maxValue {
		c.add(path, "want a number from 0 to %.0e, got %v", maxValue, v)
	}
}

func (c *checker) share(path string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.add(path, "want a share from 0 to 1, got %v", v)
	}
}

func (c *checker) time(path string, v time.Duration) {
	if v < 0 || v > MaxPeriod {
		c.add(path, "want a time from 0s to %s, got %s", MaxPeriod, v)
	}
}

func (c *checker) positiveTime(path string, v time.Duration) {
	if v <= 0 || v > MaxPeriod {
		c.add(path, "want a time above 0s and at most %s, got %s", MaxPeriod, v)
	}
}
