package capacity

// The size in the users' letter.
const (
	targetInstances     = 330
	targetUpstreams     = 600
	targetZones         = 9
	targetRegions       = 3
	targetRequests      = 5300      // requests a second at the peak
	targetTokens        = 1_800_000 // tokens generated a second at the peak
	targetOrganisations = 260
	targetChanges       = 1600 // changes of settings a day
	targetReplaced      = 82   // instances restarted or replaced on an ordinary day
	targetFailed        = 12   // instances that fail on an ordinary day
	targetInForce       = 8    // seconds from a change to in force everywhere
	targetFirstToken    = 0.94 // seconds, for 95 in 100
	targetTokenGap      = 0.027
)

// One of today's deployments, Aretusa.
const (
	todayInstances = 9
	todayUpstreams = 14
)

// What the letter allows for control.
const (
	limitCPU      = 0.015 // cores of one instance
	limitMemory   = 128e6 // bytes
	limitBytes    = 5000  // bytes a second
	limitSetAside = 7     // instances
)

// What the letter doesn't say and the arithmetic needs. These are assumptions.
const (
	assumedPromptTokens      = 16_000 // mean: one in fifty at 300,000, the others at 10,000
	assumedTreeBytes         = 1000   // of a settings tree without its organisations
	assumedOrganisationBytes = 100    // of one organisation in the tree
)

// Target is the size that the fleet has to carry.
type Target struct {
	Instances, Upstreams, Zones, Regions float64
	RequestsPerSecond, TokensPerSecond   float64
	Organisations, ChangesPerDay         float64
	ReplacedPerDay, FailedPerDay         float64
	InForceSeconds                       float64
	FirstTokenSeconds, TokenGapSeconds   float64
	Voters                               float64 // that today's mechanism would run with
	LimitCPU, LimitMemory, LimitBytes    float64
	LimitSetAside                        float64
	PromptTokens                         float64 // assumed mean
	TreeBytes                            float64 // assumed length of the settings tree
}

// Letter returns the size in the users' letter.
func Letter() Target {
	return Target{
		Instances: targetInstances, Upstreams: targetUpstreams, Zones: targetZones, Regions: targetRegions,
		RequestsPerSecond: targetRequests, TokensPerSecond: targetTokens,
		Organisations: targetOrganisations, ChangesPerDay: targetChanges,
		ReplacedPerDay: targetReplaced, FailedPerDay: targetFailed,
		InForceSeconds:    targetInForce,
		FirstTokenSeconds: targetFirstToken, TokenGapSeconds: targetTokenGap,
		Voters:   5,
		LimitCPU: limitCPU, LimitMemory: limitMemory, LimitBytes: limitBytes, LimitSetAside: limitSetAside,
		PromptTokens: assumedPromptTokens,
		TreeBytes:    assumedTreeBytes + targetOrganisations*assumedOrganisationBytes,
	}
}
