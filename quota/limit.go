package quota

// Limit bounds one organisation over the whole fleet. Zero means no limit.
type Limit struct {
	Organisation    string
	TokensPerSecond float64
	InFlight        int
}

// Statement is the last word of one live instance: its demands, and the grants
// that it may still act on because their lease has not run out.
type Statement struct {
	Instance    string
	Demands     []Demand
	Outstanding []Grant
}

// InstanceGrants are the new grants of one instance.
type InstanceGrants struct {
	Instance string
	Grants   []Grant
}
