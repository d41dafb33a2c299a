package settings

import "time"

// Forwarding holds the part of the settings by which calls are passed on
// unchanged: which call goes to which service, and what may be done with it.
type Forwarding struct {
	Version  uint64 // of the operator's document; of two, the higher one holds
	Routes   []Route
	Services []ForwardedService
	Limits   CallerLimits
	routes   routeIndex
	services map[string]int
}

// Route says what is done with the calls to one host below one path.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Repeat      Repeat
	Stream      bool          // the answer is a series of events
	Prompt      bool          // calls carry a prompt, whose length is known
	Timeout     time.Duration // longest time that a call is kept waiting
	Objective   time.Duration // of the whole answer, or of the first event of a stream
	LongPause   time.Duration // longest pause between two events that is still in time
	Priority    int           // 0 is the most urgent
	MaxSends    int           // upstreams that one call may be sent to
	Public      bool          // no key is asked for
	Shares      []ServiceShare
	TotalWeight int
}

// Repeat says what may be sent again after an upstream may have run it.
type Repeat uint8

const (
	// Never may be sent again only when it is proved that it did not run.
	Never Repeat = iota
	// Whole may be sent again from the start.
	Whole
	// Rest may be resumed after the last event that arrived.
	Rest
)

// ServiceShare is the part of a route's calls that goes to one service.
type ServiceShare struct {
	Service string
	Weight  int
}

// ForwardedService is a service whose instances announce themselves.
type ForwardedService struct {
	Name           string
	HealthPath     string
	MaxConnections int            // that one instance accepts from all callers together; 0: not known
	Engine         *EngineProfile // of a model engine, nil for a plain service
}

// EngineProfile says how fast the engines of a service work.
type EngineProfile struct {
	Slots          int           // requests that run at once
	MemoryTokens   int           // tokens of KV memory
	Stride         int           // steps of one pass that includes writers
	Step           time.Duration // one token of each writer
	StepPerWriter  time.Duration // added to Step for each writer
	StepPerContext time.Duration // added to Step for each 1,000 tokens of a writer's context
	ReadRate       float64       // prompt tokens a second
	PairsPerM      time.Duration // reading, for each million pairs of a token and an earlier one
	Chunk          int           // prompt tokens of one step at most
	Hop            time.Duration // added to each step of a request whose prompt several engines hold
	UsualPrompt    int           // mean prompt tokens
	UsualAnswer    int           // mean answer tokens
	LeastPause     time.Duration // shortest LongPause of the routes to the service, 0 if none has one
}

// CallerLimits bound what a caller may send, and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // of a whole header, from its first byte
	IdleTimeout   time.Duration // of a connection between two calls
}

// Service returns the service of that name, nil if there is none.
func (f *Forwarding) Service(name string) *ForwardedService {
	at, found := f.services[name]
	if !found {
		return nil
	}
	return &f.Services[at]
}

// Engines returns the names of the services that read prompts.
func (f *Forwarding) Engines() []string {
	var names []string
	for i := range f.Services {
		if f.Services[i].Engine != nil {
			names = append(names, f.Services[i].Name)
		}
	}
	return names
}
