package capacity

import "celeryport/slopes"

// Trials are fleets at rest at sizes that `make slopes` does not take, as a check
// of what its slopes say together.
type Trials struct {
	Command     string        `json:"command"`
	Date        string        `json:"date"`
	LoadAverage float64       `json:"load_average"`
	Fleets      []slopes.Idle `json:"fleets"`
}

// ProcessTrial is the memory of one whole process at rest.
type ProcessTrial struct {
	Command     string  `json:"command"`
	Date        string  `json:"date"`
	LoadAverage float64 `json:"load_average"`
	Resident    float64 `json:"resident_bytes"`
	Anonymous   float64 `json:"resident_anonymous_bytes"` // the rest is the program itself
}

// ReconcilerTrial is what the reconciler costs by engines, at rest: every wish is
// met and every engine answers.
type ReconcilerTrial struct {
	Command     string           `json:"command"`
	Date        string           `json:"date"`
	LoadAverage float64          `json:"load_average"`
	StateBytes  float64          `json:"engine_state_bytes"` // of one engine, as JSON
	Fleets      []ReconcilerCost `json:"fleets"`
}

// ReconcilerCost is the cost at one number of engines.
type ReconcilerCost struct {
	Engines     float64   `json:"engines"`
	Nanoseconds []float64 `json:"round_nanoseconds"` // the reads of the round included
	Memory      []float64 `json:"memory_bytes"`
}

// MergeTrial is what a voter spends on one ledger copy, sync included, with
// several instances in its book.
type MergeTrial struct {
	Command     string      `json:"command"`
	Date        string      `json:"date"`
	LoadAverage float64     `json:"load_average"`
	Copies      []MergeCost `json:"copies"`
}

// MergeCost is the cost of a copy by its requests.
type MergeCost struct {
	Requests float64   `json:"requests"`
	CPU      []float64 `json:"cpu_nanoseconds"` // system calls and the collector included
	Elapsed  []float64 `json:"nanoseconds"`
}
