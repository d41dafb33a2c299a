package standin

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/standin/enginemodel"
	"celeryport/upstream"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Options are the options that both stand-ins have in common.
type Options struct {
	Name             string
	AvailabilityZone string
	Targets          []string // model names, or the name of the service
	Version          string
	Address          string        // announced address; empty: the address of the listener
	Incarnation      uint64        // 0: the start time in nanoseconds
	Key              string        // required from callers; empty: callers are not authenticated
	Announce         []string      // addresses of the instances that receive announcements
	UpstreamKey      string        // sent with announcements
	LeaveWait        time.Duration // minimum time between the announcement of leaving and the stop
	MaxBodyBytes     int           // 0: defaultMaxBody
	Journal          io.Writer     // receives the executions as JSON lines; may be nil
	Log              logrus.FieldLogger
	Dial             Dialer // for announcements and spans; nil: TCP
}

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Options
	Model        enginemodel.Config
	TimeScale    float64       // speed relative to the timing of the model; 0 means 1
	Heartbeat    time.Duration // maximum time between frames on an answer stream, in real time
	ResumeWindow time.Duration // time for which work without a reader is kept, in real time
	Fencing      upstream.Fencing
}

// ServiceOptions describe a stand-in of a plain service.
type ServiceOptions struct {
	Options
	Latency time.Duration // delay before each answer
	Dedupe  bool          // a repeated Idempotency-Key gets the first answer and is not executed again
}

// Defaults of the options.
const (
	DefaultHeartbeat    = 500 * time.Millisecond
	DefaultResumeWindow = 2 * time.Second
	DefaultLeaveWait    = 3 * time.Second
	defaultMaxBody      = 64 << 20
)

func (o Options) withDefaults(now time.Time) Options {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(now.UnixNano())
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBody
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

func (o EngineOptions) withDefaults(now time.Time) EngineOptions {
	o.Options = o.Options.withDefaults(now)
	if o.Heartbeat <= 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.ResumeWindow <= 0 {
		o.ResumeWindow = DefaultResumeWindow
	}
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
