package settings

import "time"

// Forwarding configures the calls that are forwarded unchanged: the routes, the
// services they lead to, and the limits of callers.
type Forwarding struct {
	Version  uint64 // of the operator's document; the highest version is in force
	Routes   []Route
	Services []ForwardedService
	Limits   CallerLimits
	routes   routeIndex
	services map[string]int
}

// Route configures the calls to one host below one path prefix.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Repeat      Repeat
	Stream      bool          // the answer is an event stream
	Prompt      bool          // calls carry a prompt of known length
	Timeout     time.Duration // total time allowed for a call
	Objective   time.Duration // target time to the whole answer, or to the first event of a stream
	PauseLimit  time.Duration // target for the longest pause between two events
	Patience    time.Duration // gap without an event after which callers disconnect; 0: unknown
	Priority    int           // 0 is the most urgent
	MaxSends    int           // maximum number of upstreams that one call is sent to
	Public      bool          // no API key is required
	Shares      []ServiceShare
	TotalWeight int
}

// Repeat says how a call may be repeated after an upstream may have executed it.
type Repeat uint8

const (
	// RepeatNever allows a repeat only if the call is known not to have run.
	RepeatNever Repeat = iota
	// RepeatWhole allows a repeat from the start.
	RepeatWhole
	// RepeatRest allows the answer to be resumed after the last received event.
	RepeatRest
)

// ServiceShare is the weight of one service among a route's calls.
type ServiceShare struct {
	Service string
	Weight  int
}

// ForwardedService is a service whose upstreams announce themselves.
type ForwardedService struct {
	Name           string
	HealthPath     string
	MaxConnections int            // accepted by one upstream from all clients together; 0: unknown
	Engine         *EngineProfile // nil for a plain service
	ColdTime       time.Duration  // how long an upstream is cold after its start
	ColdRate       float64        // requests per second that a cold upstream accepts from all instances together; 0: no limit
}

// EngineProfile is the performance model of a service's engines.
type EngineProfile struct {
	Slots           int           // requests that run concurrently
	MemoryTokens    int           // tokens of KV memory
	Stride          int           // decode steps of one engine pass if any request is decoding
	Step            time.Duration // base duration of a decode step, which yields one token per decoding request
	StepPerSequence time.Duration // added to Step per decoding request
	StepPerContext  time.Duration // added to Step per 1,000 tokens of a decoding request's context
	PrefillRate     float64       // prefill rate, in prompt tokens per second
	PairsPerM       time.Duration // prefill time per million pairs of a token and an earlier token
	Chunk           int           // maximum prompt tokens per step
	Hop             time.Duration // added to each step of a request whose prompt is spread over several engines
	MeanPrompt      int           // mean prompt tokens
	MeanAnswer      int           // mean answer tokens
	MinPauseLimit   time.Duration // shortest PauseLimit of the routes to the service, 0 if none has one
	MinPatience     time.Duration // shortest Patience of the routes to the service, 0 if none has one
}

// CallerLimits bounds the size and the duration of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // to receive a whole header, from its first byte
	IdleTimeout   time.Duration // maximum pause between two calls on a connection
}

// Service returns the named service, nil if there is none.
func (f *Forwarding) Service(name string) *ForwardedService {
	index, found := f.services[name]
	if !found {
		return nil
	}
	return &f.Services[index]
}

// Engines returns the names of the services whose upstreams are model engines.
func (f *Forwarding) Engines() []string {
	var names []string
	for i := range f.Services {
		if f.Services[i].Engine != nil {
			names = append(names, f.Services[i].Name)
		}
	}
	return names
}
