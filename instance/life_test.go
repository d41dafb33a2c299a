package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/control"
	"celeryport/settings"
)

// The numbers of the events that the tests wait for.
const (
	loggedServing    = 1100
	loggedStopped    = 1102
	loggedEnded      = 1120
	loggedNotEnded   = 1122
	loggedNotStarted = 1124
	loggedReopened   = 1121
	loggedNotFree    = 1140
	loggedNoFolder   = 1180
)

// testRun is a forwarding instance that runs in the process of the test.
type testRun struct {
	t         *testing.T
	lines     chan *logrus.Entry
	requested context.CancelFunc // asks it to stop
	result    chan error
}

// Levels implements logrus.Hook.
func (r *testRun) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *testRun) Fire(line *logrus.Entry) error {
	r.lines <- line
	return nil
}

// runInstance runs a forwarding instance on loopback.
func runInstance(t *testing.T, change func(*Options)) *testRun {
	t.Helper()
	return runWith(t, RunForwarding, change)
}

func runWith(t *testing.T, run func(stop context.Context, options Options) error, change func(*Options)) *testRun {
	t.Helper()
	r := &testRun{t: t, lines: make(chan *logrus.Entry, 1000), result: make(chan error, 1)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	options := Options{
		Process: &settings.Process{
			Name: "instance", Serves: settings.ServesForwarding, DrainTimeout: testDrain,
			Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0", InstanceKey: "key",
		},
		Log: log,
		Adapter: &Adapter{
			Parse:         settings.ParseTree,
			Control:       func(*control.Node) http.Handler { return http.NotFoundHandler() },
			ControlPrefix: "/none",
		},
	}
	change(&options)
	stop, requested := context.WithCancel(t.Context())
	r.requested = requested
	go func() { r.result <- run(stop, options) }()
	return r
}

// await waits for a line of an event.
func (r *testRun) await(number int) *logrus.Entry {
	r.t.Helper()
	for {
		select {
		case line := <-r.lines:
			if line.Data["event"] == number {
				return line
			}
		case err := <-r.result:
			r.result <- err
			select {
			case line := <-r.lines:
				if line.Data["event"] == number {
					return line
				}
			default:
				r.t.Fatalf("ended without event %d: %v", number, err)
			}
		case <-time.After(testTimeout):
			r.t.Fatalf("no event %d", number)
		}
	}
}

// ends waits until the instance has ended.
func (r *testRun) ends() error {
	r.t.Helper()
	select {
	case err := <-r.result:
		return err
	case <-time.After(testTimeout):
		r.t.Fatal("the instance still runs")
		return nil
	}
}

// testDrain is short, because the stops wait for it.
const testDrain = 500 * time.Millisecond

// testTimeout is far longer than what the tests wait for.
const testTimeout = 20 * time.Second

// listen opens an address on loopback until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// breakableListener fails for good once it is broken.
type breakableListener struct {
	net.Listener
	broken atomic.Bool
}

var errBroken = errors.New("broken")

// Accept implements net.Listener.
func (l *breakableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.broken.Load() {
		return nil, errBroken
	}
	return conn, err
}

func (l *breakableListener) breakDown() {
	l.broken.Store(true)
	l.Close()
}

// observedListener tells when it has accepted a connection.
type observedListener struct {
	net.Listener
	accepted chan struct{}
}

func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
	}
	return conn, err
}

// Guards against an instance that stands still for good, not ready and deaf to SIGTERM, after
// control has failed.
func TestInstanceEndsWhenControlFails(t *testing.T) {
	callers := &observedListener{Listener: listen(t), accepted: make(chan struct{}, 1)}
	broken := &breakableListener{Listener: listen(t)}
	r := runInstance(t, func(o *Options) { o.Traffic, o.Control = callers, broken })
	r.await(loggedServing)
	conn, err := net.Dial("tcp", callers.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-callers.accepted // the kernel resets a connection that waits to be accepted when its listener is closed
	broken.breakDown()
	if name := r.await(loggedEnded).Data["component"]; name != "control" {
		t.Errorf("%v ended", name)
	}
	if end := r.await(loggedStopped); end.Data["reason"] != "failed" || end.Data["exit"] != 1 {
		t.Errorf("logged %v", end.Data)
	}
	if err := r.ends(); !errors.Is(err, errBroken) {
		t.Errorf("ended with: %v", err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the caller's connection: %v", err)
	}
}

// As TestInstanceEndsWhenControlFails, for an instance that serves completions.
func TestCompletionsInstanceEndsWhenControlFails(t *testing.T) {
	broken := &breakableListener{Listener: listen(t)}
	r := runWith(t, Run, func(o *Options) {
		o.Control, o.Traffic = broken, listen(t)
		p := o.Process
		p.Serves, p.Voter, p.MayFoundGroup, p.DataFolder = settings.ServesCompletions, true, true, t.TempDir()
		p.ControlListen = broken.Addr().String()
		p.Voters = []settings.Member{{ID: "one", Address: p.ControlListen}}
		p.MaxConnections, p.ReadTimeout = 16, time.Second
		p.Pools = settings.Pools{Short: 4, Long: 4, Service: 4}
	})
	r.await(loggedServing)
	broken.breakDown()
	if name := r.await(loggedEnded).Data["component"]; name != "control" {
		t.Errorf("%v ended", name)
	}
	if err := r.ends(); !errors.Is(err, errBroken) {
		t.Errorf("ended with: %v", err)
	}
}

// Guards against an instance that ends, or goes on without callers, because the socket of their
// address no longer works.
func TestAddressOfCallersIsOpenedAgain(t *testing.T) {
	callers := &breakableListener{Listener: listen(t)}
	address := callers.Addr().String()
	r := runInstance(t, func(o *Options) { o.Traffic, o.Process.Listen = callers, address })
	r.await(loggedServing)
	callers.breakDown()
	if name := r.await(loggedEnded).Data["component"]; name != "callers" {
		t.Errorf("%v ended", name)
	}
	r.await(loggedReopened)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	r.requested()
	if err := r.ends(); err != nil {
		t.Error(err)
	}
}

// Guards against SIGTERM without effect while the start waits for an address.
func TestInstanceStopsWhileItWaitsForAnAddress(t *testing.T) {
	addresses := map[string]func(*settings.Process, string){
		"callers":   func(p *settings.Process, a string) { p.Listen = a },
		"control":   func(p *settings.Process, a string) { p.ControlListen = a },
		"metrics":   func(p *settings.Process, a string) { p.Metrics = a },
		"readiness": func(p *settings.Process, a string) { p.Readiness = a },
	}
	for purpose, set := range addresses {
		t.Run(purpose, func(t *testing.T) {
			held := listen(t).Addr().String()
			r := runInstance(t, func(o *Options) { set(o.Process, held) })
			if line := r.await(loggedNotFree); line.Data["address"] != held {
				t.Errorf("waits for %v", line.Data)
			}
			r.requested()
			if end := r.await(loggedStopped); end.Data["reason"] != "requested" || end.Data["exit"] != 0 {
				t.Errorf("logged %v", end.Data)
			}
			if err := r.ends(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against SIGTERM without effect while the start waits for the data folder, which another
// process uses.
func TestInstanceStopsWhileItWaitsForItsFolder(t *testing.T) {
	folder := t.TempDir()
	voter := func(o *Options) {
		p := o.Process
		p.Serves, p.Voter, p.MayFoundGroup, p.DataFolder = settings.ServesControl, true, true, folder
		p.Voters = []settings.Member{{ID: "one", Address: p.ControlListen}}
	}
	former := runInstance(t, voter)
	former.await(loggedServing)
	r := runInstance(t, voter)
	r.await(loggedNoFolder)
	r.requested()
	if end := r.await(loggedStopped); end.Data["exit"] != 0 || end.Data["served"] != false {
		t.Errorf("logged %v", end.Data)
	}
	if err := r.ends(); err != nil {
		t.Error(err)
	}
	former.requested()
	if err := former.ends(); err != nil {
		t.Error(err)
	}
}

// Guards against a metrics address that keeps an instance from serving while it is in use.
func TestHeldMetricsAddressDelaysNoCaller(t *testing.T) {
	held := listen(t)
	r := runInstance(t, func(o *Options) { o.Process.Metrics = held.Addr().String() })
	r.await(loggedServing)
	r.requested()
	if err := r.ends(); err != nil {
		t.Error(err)
	}
}

// Guards against an instance that waits for an address of another host instead of refusing it, or
// that ends without a line that tells why.
func TestInstanceRefusesAnAddressOfAnotherHost(t *testing.T) {
	r := runInstance(t, func(o *Options) { o.Process.Listen = "192.0.2.1:7000" })
	r.await(loggedNotStarted)
	if end := r.await(loggedStopped); end.Data["exit"] != 2 || end.Data["served"] != false {
		t.Errorf("logged %v", end.Data)
	}
	if err := r.ends(); exitCode(err) != 2 {
		t.Errorf("ended with: %v", err)
	}
}

// As before, for an address that is opened beside the others.
func TestInstanceRefusesAMetricsAddressOfAnotherHost(t *testing.T) {
	r := runInstance(t, func(o *Options) { o.Process.Metrics = "192.0.2.1:7000" })
	if end := r.await(loggedStopped); end.Data["reason"] != "failed" || end.Data["exit"] != 2 {
		t.Errorf("logged %v", end.Data)
	}
	if err := r.ends(); exitCode(err) != 2 {
		t.Errorf("ended with: %v", err)
	}
}

// Guards against SIGTERM without effect while control opens a data folder on a disk that doesn't
// answer.
func TestStopEndsTheWaitForAConstructor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	release := make(chan struct{})
	defer close(release)
	_, err := construct(ctx, func() (int, error) {
		<-release
		return 1, nil
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("ended with: %v", err)
	}
}
