package capacity

import "time"

// Deployment is the input of Calculate.
type Deployment struct {
	// Period is the time covered: whole seconds, MaxPeriod at most.
	Period        time.Duration  `yaml:"period"`
	StageServices []StageService `yaml:"stage_services"`
	Engines       []EnginePool   `yaml:"engines"`
	PlainServices []PlainService `yaml:"plain_services"`
	Kinds         []Kind         `yaml:"kinds"`
	Bursts        []Burst        `yaml:"bursts"`
}

// StageService executes pieces of stages in batches. A call with n pieces takes CallTime
// plus n times PieceTime.
type StageService struct {
	Name string `yaml:"name"`
	// Replicas and, for each, the number of concurrent calls and of pieces in one call.
	Replicas    int `yaml:"replicas"`
	Concurrency int `yaml:"concurrency"`
	Batch       int `yaml:"batch"`

	CallTime  time.Duration `yaml:"call_time"`
	PieceTime time.Duration `yaml:"piece_time"`
	// ResultMemoryBytes is the size of the results that a replica can hold.
	ResultMemoryBytes int64 `yaml:"result_memory_bytes"`
}

// EnginePool reads prompts and generates tokens. A step of an engine with n running requests
// generates one token for each and takes StepTime plus n times StepTimePerRequest.
type EnginePool struct {
	Name        string `yaml:"name"`
	Replicas    int    `yaml:"replicas"`
	Concurrency int    `yaml:"concurrency"`
	// PromptTokensPerMs is the number of prompt tokens that an engine reads in a millisecond.
	PromptTokensPerMs  float64       `yaml:"prompt_tokens_per_ms"`
	StepTime           time.Duration `yaml:"step_time"`
	StepTimePerRequest time.Duration `yaml:"step_time_per_request"`
	// TokensPerEvent is the number of tokens of one event of a stream.
	TokensPerEvent float64 `yaml:"tokens_per_event"`
	// Slowdowns are those of equal parts of the engines: 2 means that all work takes twice
	// as long. Default: 1 for all.
	Slowdowns []float64 `yaml:"slowdowns"`
	// For SlowShare of the time an engine takes SlowFactor times as long. Defaults 0 and 1.
	SlowShare  float64 `yaml:"slow_share"`
	SlowFactor float64 `yaml:"slow_factor"`
}

// PlainService executes requests that have no stages, prompts or streams.
type PlainService struct {
	Name        string        `yaml:"name"`
	Replicas    int           `yaml:"replicas"`
	Concurrency int           `yaml:"concurrency"`
	Work        time.Duration `yaml:"work"`
}

// Kind is a kind of requests.
type Kind struct {
	Name string `yaml:"name"`
	// Service is the engine pool or the plain service that answers the requests.
	Service string `yaml:"service"`
	// Rate is the number of requests that arrive in a second, without bursts.
	Rate float64 `yaml:"rate"`
	// Worth is what one request served in time counts.
	Worth float64 `yaml:"worth"`
	// Priority is reported and does not affect the bound, which takes the best order.
	Priority int `yaml:"priority"`
	// Objective is the time to the first event or the answer, and Deadline the time to the
	// end of a stream.
	Objective time.Duration `yaml:"objective"`
	Deadline  time.Duration `yaml:"deadline"`
	Stages    []Stage       `yaml:"stages"`
	// OwnPromptTokens are read by the engine. Of the SharedPromptTokens, the part
	// SharedCached is not read again.
	OwnPromptTokens    float64 `yaml:"own_prompt_tokens"`
	SharedPromptTokens float64 `yaml:"shared_prompt_tokens"`
	SharedCached       float64 `yaml:"shared_cached"`
	// Events is the number of events of the stream.
	Events float64 `yaml:"events"`
}

// Stage is stage work of a request.
type Stage struct {
	Service string `yaml:"service"`
	// Share is the part of the kind's requests that have this stage, independently of its
	// other stages. Default 1.
	Share float64 `yaml:"share"`
	// AfterPrevious says that the pieces read results of the stage that is listed before.
	AfterPrevious bool `yaml:"after_previous"`
	// Pieces is the mean number of pieces, and ResultBytes the size of one result.
	Pieces      float64 `yaml:"pieces"`
	ResultBytes int64   `yaml:"result_bytes"`
	// PieceTimeFactor is the time of a piece as a multiple of the service's. Default 1.
	PieceTimeFactor float64 `yaml:"piece_time_factor"`
	// ReadTime is the shortest time for which a result is held after the call that made it,
	// until its reader has read it.
	ReadTime time.Duration `yaml:"read_time"`
}

// Burst multiplies the rate of a kind for a time. Bursts that overlap multiply each other.
type Burst struct {
	// Kind is the name of a kind; empty for all kinds.
	Kind   string        `yaml:"kind"`
	Factor float64       `yaml:"factor"`
	From   time.Duration `yaml:"from"`
	For    time.Duration `yaml:"for"`
}

// arrivals returns the arrivals of a kind in each step of the grid.
func (d *Deployment) arrivals(k *Kind, g grid) []float64 {
	out := make([]float64, g.steps)
	for i := range out {
		from := time.Duration(i) * g.step
		out[i] = k.Rate * d.burstSeconds(k.Name, from, from+g.step)
	}
	return out
}

// burstSeconds returns the integral of the kind's burst factor from one time to another, in
// seconds.
func (d *Deployment) burstSeconds(kind string, from, to time.Duration) float64 {
	var sum float64
	for at := from; at < to; {
		end, factor := to, 1.0
		for _, b := range d.Bursts {
			if b.Kind != "" && b.Kind != kind {
				continue
			}
			last := b.From + b.For
			switch {
			case at < b.From:
				end = min(end, b.From)
			case at < last:
				end = min(end, last)
				factor *= b.Factor
			}
		}
		sum += factor * (end - at).Seconds()
		at = end
	}
	return sum
}
