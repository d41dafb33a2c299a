package slopes

// Result is everything that was measured, as docs/slopes.json keeps it.
type Result struct {
	Date      string     `json:"date"`
	Machine   Machine    `json:"machine"`
	Instances []Idle     `json:"instances"` // fleets of several sizes at rest
	Upstreams []Idle     `json:"upstreams"` // one fleet with several numbers of upstreams
	Slopes    Slopes     `json:"slopes"`    // fitted to the above
	Changes   Changes    `json:"changes"`   // settings changes, one after the other
	Elections Quantiles  `json:"elections"` // ms from the death of a leader to the first answer of the next
	Outages   Outages    `json:"outages"`   // the voters lose their majority
	CatchUp   []CatchUp  `json:"catch_up"`  // a voter that missed changes
	Claims    []Claiming `json:"claims"`    // claims at several loads
}

// Machine is where it was measured.
type Machine struct {
	CPUs   int    `json:"cpus"`
	Go     string `json:"go"`
	System string `json:"system"`
	// LoadAverage is the mean number of runnable threads of the whole machine in
	// the minute before, so that a reader sees what else ran.
	LoadAverage float64 `json:"load_average"`
}

// Idle is a fleet at rest over a window of time. Bytes count both directions as
// seen by the side that called, with HTTP headers and without TCP and IP.
type Idle struct {
	Instances         int     `json:"instances"`
	Voters            int     `json:"voters"`
	Upstreams         int     `json:"upstreams"`
	Seconds           float64 `json:"seconds"`
	InstanceBytes     float64 `json:"instance_bytes_per_second"` // mean of the instances that don't vote
	InstanceCalls     float64 `json:"instance_calls_per_second"`
	FollowerBytes     float64 `json:"follower_bytes_per_second"` // mean of the voters that don't lead
	LeaderBytes       float64 `json:"leader_bytes_per_second"`   // its own calls and those of all others to it
	LeaderCalls       float64 `json:"leader_calls_per_second"`
	CPUPerInstance    float64 `json:"cpu_seconds_per_second_per_instance"` // of the whole process, divided
	HeapPerInstance   float64 `json:"heap_bytes_per_instance"`
	GoroutinesPerNode float64 `json:"goroutines_per_instance"`
}

// Slopes are least-squares fits through the measured sizes.
type Slopes struct {
	LeaderBytesPerInstance   Fit `json:"leader_bytes_per_second_per_instance"`
	InstanceBytesPerUpstream Fit `json:"instance_bytes_per_second_per_upstream"`
	LeaderBytesPerUpstream   Fit `json:"leader_bytes_per_second_per_upstream"`
	CPUPerUpstream           Fit `json:"cpu_seconds_per_second_per_instance_per_upstream"`
	HeapPerUpstream          Fit `json:"heap_bytes_per_instance_per_upstream"`
	CPUPerInstance           Fit `json:"total_cpu_seconds_per_second_per_instance"`
}

// Fit is a straight line and how far the measured points lie from it.
type Fit struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"largest_residual"`
}

// Changes is what settings changes cost.
type Changes struct {
	Count         int       `json:"count"`
	TextBytes     int       `json:"text_bytes"`
	Instances     int       `json:"instances"`
	BytesEach     float64   `json:"bytes_per_change_per_instance"` // above the fleet at rest
	CallsEach     float64   `json:"calls_per_change_per_instance"`
	CPUEach       float64   `json:"cpu_seconds_per_change_per_instance"`
	CommitMs      Quantiles `json:"commit_ms"`       // order sent to outcome known, synced by a majority
	EverywhereMs  Quantiles `json:"installed_ms"`    // order sent to installed at every instance
	InForceMs     Quantiles `json:"in_force_ms"`     // order sent to in force as the leader says
	CommitPerHour float64   `json:"commits_an_hour"` // one after the other
}

// Outages is what serving does while the voters have no majority.
type Outages struct {
	StopMs   Quantiles `json:"stop_ms"`   // from the loss to the moment when the last instance stops admitting
	ResumeMs Quantiles `json:"resume_ms"` // from the start of one more voter to the moment when all admit
}

// CatchUp is how long a voter needs that comes back after missed changes.
type CatchUp struct {
	Changes int     `json:"changes"`
	Seconds float64 `json:"seconds"` // from the start of the process to the whole log on its disk
	Bytes   float64 `json:"bytes"`
}

// Claiming is what claims cost at one load.
type Claiming struct {
	Concurrent int       `json:"concurrent"`
	PerSecond  float64   `json:"claims_per_second"`
	LatencyMs  Quantiles `json:"latency_ms"`
	BytesEach  float64   `json:"bytes_per_claim"`
}
