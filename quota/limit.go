package quota

// Limit limits one organisation over the whole fleet. Zero means no limit.
type Limit struct {
	Organisation    string
	TokensPerSecond float64
	InFlight        int
}

// Statement is the latest report of one live instance: its demands, and the grants that it may
// still use because their lease has not expired.
type Statement struct {
	Instance    string
	Demands     []Demand
	Outstanding []Grant
}

// InstanceGrants contains the new grants of one instance.
type InstanceGrants struct {
	Instance string
	Grants   []Grant
}
