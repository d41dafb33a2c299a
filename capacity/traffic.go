package capacity

// Traffic is what requests and their ledger cost, as docs/slopes-traffic.json
// keeps it. Times are elapsed times of one operation after the other, each run
// several times.
type Traffic struct {
	Machine Machine `json:"machine"`
	Runs    []Run   `json:"runs"`

	Decisions     []Decision    `json:"decisions"`
	Requests      []RequestCost `json:"requests"`
	StreamedToken []float64     `json:"streamed_token_nanoseconds"`
	CountRequest  []float64     `json:"ledger_count_request_nanoseconds"`
	Copies        []CopyCost    `json:"ledger_copies"`
	Apply         []float64     `json:"ledger_apply_nanoseconds_per_request"`
	Merge         []float64     `json:"ledger_merge_of_160_requests_nanoseconds"` // sync included
	States        []StateSize   `json:"ledger_states"`

	Trials  Trials       `json:"control_trials"`
	Process ProcessTrial `json:"process_trial"`

	Reconciler ReconcilerTrial `json:"reconciler_trial"`
	Merges     MergeTrial      `json:"ledger_merge_trial"`
}

// Machine is where it was measured.
type Machine struct {
	CPUs   int    `json:"cpus"`
	Go     string `json:"go"`
	System string `json:"system"`
}

// Run is one command that gave figures, and how busy the machine was then.
type Run struct {
	Date        string  `json:"date"`
	Command     string  `json:"command"`
	LoadAverage float64 `json:"load_average"`
}

// Decision is the choice of one upstream among several.
type Decision struct {
	Upstreams   float64   `json:"upstreams"`
	Nanoseconds []float64 `json:"nanoseconds"`
}

// RequestCost is one whole request through an instance, its caller and its engine
// included.
type RequestCost struct {
	PromptTokens float64   `json:"prompt_tokens"`
	Nanoseconds  []float64 `json:"nanoseconds"`
	Allocated    []float64 `json:"allocated_bytes"`
}

// CopyCost is one ledger copy by the requests since the last one.
type CopyCost struct {
	Requests    float64   `json:"requests"`
	Nanoseconds []float64 `json:"nanoseconds"`
	Bytes       []float64 `json:"bytes"`
}

// StateSize is the memory of a voter's ledger state by instances.
type StateSize struct {
	Instances float64   `json:"instances"`
	Bytes     []float64 `json:"bytes"`
}
