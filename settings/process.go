package settings

import "time"

// Process is the validated content of a process settings file.
type Process struct {
	Name               string // unique in the fleet
	AvailabilityZone   string
	Region             string
	Serves             Duty     // role of the instance towards callers
	Listen             string   // traffic address, host:port, for callers and upstreams
	Readiness          string   // address of the readiness check; empty: none
	Directory          string   // address that serves the list of addresses for callers; empty: none
	Metrics            string   // address of the metrics; empty: served on Listen
	Advertise          string   // traffic address announced to callers; Listen if empty
	ControlListen      string   // control address, host:port, for instances and operators
	ControlAdvertise   string   // control address announced to instances; ControlListen if empty
	DataFolder         string   // required for a voter
	Voter              bool     // member of the control group
	Voters             []Member // initial members of the control group, or instances to ask for the current ones
	MayFoundGroup      bool     // whether the voters may found a new control group
	ToleratedLosses    int      // simultaneous voter losses to tolerate; 0: operators replace voters
	InstanceKey        string   // shared by the instances
	OperatorKeys       []string
	UpstreamKeys       []string // accepted from upstreams that announce themselves
	EngineKey          string   // sent to upstreams
	Tree               string   // path of a tree that is proposed if no tree was ever accepted; empty: none
	LogLevel           string
	MaxConnections     int
	Descriptors        int           // limit on the open descriptors of the process; 0: not stated
	MemoryLimit        int64         // limit on the memory of the process in bytes; 0: not stated
	ReadTimeout        time.Duration // to receive a caller's whole request
	DrainTimeout       time.Duration // maximum duration of a graceful shutdown
	RepeatRatio        float64       // repeated sends as a fraction of a service's forwarded calls, over all instances
	RepeatSlack        float64       // repeated sends allowed beyond that ratio, over all instances
	RepeatWindow       time.Duration // sliding window of RepeatRatio and RepeatSlack
	IdleMemory         time.Duration // how long memory of an engine may be reserved and unused; 0: not stated
	OrganisationShares bool          // whether forwarded calls share the engines by organisation while these are short
	Pools              Pools
}

// Duty is the role of an instance towards callers.
type Duty string

const (
	// ServesCompletions serves the completions API and schedules prompts.
	ServesCompletions Duty = "completions"
	// ServesForwarding forwards calls by the routes of the settings.
	ServesForwarding Duty = "forwarding"
	// ServesControl takes part in the control plane and serves no calls.
	ServesControl Duty = "control"
)

// Member is one voter of the control group.
type Member struct {
	ID      string // never reused: a voter that lost its disk gets a new ID
	Address string // control address
}

// Pools holds the sizes of the worker pools. Short and long prompts have separate
// pools, so that long streams never occupy the workers of short ones.
type Pools struct {
	Short   int
	Long    int
	Service int
}
