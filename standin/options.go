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

// Options are what both stand-ins have in common.
type Options struct {
	Name             string
	AvailabilityZone string
	Targets          []string // models, or the one service
	Version          string
	Address          string        // announced address; empty: that of the listener
	Incarnation      uint64        // 0: the time of the start in nanoseconds
	Key              string        // callers must present it; empty: nobody is checked
	Announce         []string      // entry instances to announce to
	UpstreamKey      string        // presented when announcing
	LeaveWait        time.Duration // least time between the announcement of leaving and the end
	MaxBodyBytes     int           // 0: defaultMaxBody
	Journal          io.Writer     // what was executed, as JSON lines; may be nil
	Log              logrus.FieldLogger
	Dial             Dialer // for announcements and spans; nil: TCP
}

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Options
	Model        enginemodel.Config
	TimeScale    float64       // so many times faster than the model; 0: 1
	Heartbeat    time.Duration // longest silence on an answer stream, in real time
	ResumeWindow time.Duration // work without a reader is kept so long, in real time
	Fencing      upstream.Fencing
}

// ServiceOptions describe a stand-in of a plain service.
type ServiceOptions struct {
	Options
	Latency time.Duration // before each answer
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
