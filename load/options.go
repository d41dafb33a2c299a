package load

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Options describe one run.
type Options struct {
	Mix              Mix
	Keys             Keys
	To               []string // entry instances that callers know at first
	AvailabilityZone string   // of the callers
	Rate             float64  // requests a second
	Duration         time.Duration
	Requests         int // 0: as many as Duration allows
	Seed             uint64
	DeadlineScale    float64       // times the deadlines of the classes; 0: 1
	Grace            time.Duration // a request without an end so long after its deadline is lost
	MostInFlight     int           // above it requests are not sent and counted as unsent
	EngineMemory     int           // tokens, bounds the last but one length bucket
	ResendOneIn      int           // one in so many calls with a key is made twice at once; 0: none
	NoRepeatOneIn    int           // one in so many prompts must not be repeated; 0: none
	CountsFrom       []string      // services to ask what they executed
	CountsKey        string        // key for asking them
	Progress         io.Writer     // one line a second; may be nil
	Log              logrus.FieldLogger
	Dial             Dialer // nil: TCP
}

// Defaults of the options.
const (
	DefaultRate         = 20
	DefaultGrace        = 5 * time.Second
	DefaultMostInFlight = 10_000
	DefaultEngineMemory = 400_000
)

func (o Options) withDefaults() Options {
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.DeadlineScale <= 0 {
		o.DeadlineScale = 1
	}
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	if o.MostInFlight <= 0 {
		o.MostInFlight = DefaultMostInFlight
	}
	if o.EngineMemory <= 0 {
		o.EngineMemory = DefaultEngineMemory
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = silent
	}
	return o
}
