package load

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Options configure one run.
type Options struct {
	Mix              Mix
	Keys             Keys
	To               []string // addresses of the entry instances that callers contact first
	AvailabilityZone string   // of the callers
	Rate             float64  // requests a second
	Duration         time.Duration
	Requests         int // maximum number of requests; 0: limited by Duration only
	Seed             uint64
	DeadlineScale    float64       // factor applied to the deadlines of the classes; 0 means 1
	Grace            time.Duration // a request without an outcome this long after its deadline counts as lost
	MaxInFlight      int           // further requests are not sent but counted as unsent
	EngineMemory     int           // tokens; upper limit of the last but one length bucket
	ResendOneIn      int           // one in so many calls with an idempotency key is sent twice concurrently; 0: none
	NoRepeatOneIn    int           // one in so many prompts is marked as not to be repeated; 0: none
	CountsFrom       []string      // addresses of the services that report execution counts
	CountsKey        string        // API key for these services
	Progress         io.Writer     // receives one line a second; may be nil
	Log              logrus.FieldLogger
	Dial             Dialer // nil: TCP
}

// Defaults of the options.
const (
	DefaultRate         = 20
	DefaultGrace        = 5 * time.Second
	DefaultMaxInFlight  = 10_000
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
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
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
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Log = discard
	}
	return o
}
