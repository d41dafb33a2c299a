package settings

import "time"

// Process is the checked content of one process settings file.
type Process struct {
	Name             string // unique in the fleet
	AvailabilityZone string
	Region           string
	Serves           Duty     // what it does for callers
	Listen           string   // traffic address, host:port, callers and upstreams connect here
	Readiness        string   // address that answers whether the instance takes traffic; empty: none
	Directory        string   // address that answers which addresses callers may use; empty: none
	Metrics          string   // address of the metrics; empty: that of Listen
	Advertise        string   // traffic address given to callers; Listen if empty
	ControlListen    string   // control address, host:port, instances connect here
	ControlAdvertise string   // ControlListen if empty
	DataFolder       string   // required for a voter
	Voter            bool     // takes part in the control group
	Voters           []Member // the control group at first start, or those who know it now
	Found            bool     // the voters may found a new group
	Losses           int      // voters that may be lost at the same time; 0: operators replace voters
	InstanceKey      string   // shared by the instances
	OperatorKeys     []string
	UpstreamKeys     []string // accepted from upstreams that announce themselves
	EngineKey        string   // sent to upstreams
	Tree             string   // path of a tree applied if no tree was ever accepted; empty: none
	LogLevel         string
	MaxConnections   int
	ReadTimeout      time.Duration // of a caller's whole request
	DrainTimeout     time.Duration // bound of a graceful shutdown
	RepeatRatio      float64       // sends beyond the first of each forwarded call, as a part of the calls for a service, by all instances
	RepeatSlack      int           // repeats beyond that ratio, by all instances
	RepeatWindow     time.Duration // any span of this length counts
	Pools            Pools
}

// Duty says what an instance does for callers.
type Duty string

const (
	// ServesCompletions answers the completions interface and schedules prompts.
	ServesCompletions Duty = "completions"
	// ServesForwarding passes calls on by the routes of the settings.
	ServesForwarding Duty = "forwarding"
	// ServesControl takes part in control and takes no calls.
	ServesControl Duty = "control"
)

// Member names one voter of the control group.
type Member struct {
	ID      string // never reused: a voter that lost its disk gets a new one
	Address string // control address
}

// Pools are the sizes of the worker pools; the length classes have pools of
// their own, so that long streams never hold the workers of short ones.
type Pools struct {
	Short   int
	Long    int
	Service int
}
