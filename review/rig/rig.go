// Command rig plays the scripts of the second review: it runs the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins of engines, clients and the platform.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// ledger is what clients and engines have seen.
type ledger struct {
	sent       int
	rejected   int                  // rejections of engines
	rejections map[string]int       // by the id of the request
	runs       map[string][]string  // engines that ran a request, by its id
	answers    map[string]int       // status of the final answer, by the id of the request; 0: none
	counts     map[int]int          // answers by status
	arrivals   map[string][]arrival // at each engine
}

type arrival struct {
	at time.Time
	id string
}

type rig struct {
	fleet   *fleet
	trouble bool
	began   time.Time
	client  *http.Client // of the platform
	mu      sync.Mutex
	out     *os.File
	ledger  ledger
	engines []*engine
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// cases are the scripts, by the names under which their files enter them. Each returns whether the rule held.
var cases = map[string]func(*rig) (bool, error){}

func play(script func(*rig) (bool, error), folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &rig{
		began: time.Now(), out: out, trouble: os.Getenv("TROUBLE") != "0", client: newClient(time.Second),
		ledger: ledger{rejections: map[string]int{}, runs: map[string][]string{}, answers: map[string]int{}, counts: map[int]int{}, arrivals: map[string][]arrival{}},
	}
	held, err := r.run(script)
	code := exitHeld
	switch {
	case err != nil:
		r.record("the case could not run: %v", err)
		code = exitNotRun
	case !held:
		code = exitBroken
	}
	r.record("exit %d", code)
	if err := out.Close(); err != nil {
		return exitNotRun
	}
	return code
}

func (r *rig) run(script func(*rig) (bool, error)) (bool, error) {
	root, err := os.Getwd()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // a rest does no harm
	} else {
		r.record("folder %s", dir)
	}
	if r.fleet, err = newFleet(root, dir, 3, 3); err != nil {
		return false, err
	}
	defer r.fleet.stop()
	defer r.guard(dir)()
	defer func() {
		for _, e := range r.engines {
			e.stop()
		}
	}()
	return script(r)
}

// timeLimit bounds a run.
const timeLimit = 115 * time.Second

// guard ends all processes and this one if the run takes too long or is interrupted. The result ends that.
func (r *rig) guard(dir string) func() {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-done:
			return
		case <-signals:
		case <-time.After(timeLimit):
		}
		r.record("ended early; exit %d", exitNotRun)
		r.fleet.abort()
		_ = os.RemoveAll(dir) // a rest does no harm
		os.Exit(exitNotRun)
	}()
	return func() { close(done) }
}

// record writes one line to record.txt.
func (r *rig) record(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// note changes the ledger.
func (r *rig) note(change func(l *ledger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.ledger)
}

// reached notes that a request has reached an engine that takes it, and ran that the engine has begun to work on it.
func (r *rig) reached(e *engine, id string) {
	r.note(func(l *ledger) { l.arrivals[e.id] = append(l.arrivals[e.id], arrival{time.Now(), id}) })
}

func (r *rig) ran(e *engine, id string) {
	r.note(func(l *ledger) { l.runs[id] = append(l.runs[id], e.id) })
	r.record("%s run %s", id, e.id)
}

func newClient(patience time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: patience, Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64,
	}}
}

// post sends a JSON document to a control address. The status is 0 if there was no answer in time.
func (r *rig) post(address, path string, document any, patience time.Duration) (int, []byte) {
	body, err := json.Marshal(document)
	if err != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// configure sends a configuration until it is acknowledged.
func (r *rig) configure(name string) error {
	document := wireFile(name)
	controls := r.fleet.controls()
	for try := range 60 {
		status, answer := r.post(controls[try%len(controls)], wire["configure"], document, time.Second)
		if status == http.StatusOK {
			r.record("the configuration %s is acknowledged", name)
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("the configuration was refused: %d %s", status, answer)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the configuration")
}

// awaitReady waits until all front machines are ready.
func (r *rig) awaitReady(patience time.Duration) error {
	until := time.Now().Add(patience)
	for _, p := range r.fleet.fronts {
		for !r.isReady(p) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *rig) isReady(p *process) bool {
	response, err := r.client.Get("http://" + p.readyAddress() + wire["ready"])
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// call is what a client sends.
type call struct {
	method, path, body string
	fields             map[string]string
	deadline           time.Duration
}

// host is the host of all routes.
const host = "ficu95.example"

// send sends one request with an id of its own, reads the whole answer, and returns the status, 0 if there was no whole
// answer.
func (r *rig) send(from *caller, id string, c call) int {
	address := from.pick()
	if address == "" {
		return 0
	}
	r.note(func(l *ledger) { l.sent++ })
	status, reason := r.exchange(from.client, address, id, c)
	if status == 0 {
		from.drop(address)
	}
	r.note(func(l *ledger) { l.answers[id] = status; l.counts[status]++ })
	r.record("%s %s %d %s", id, address, status, reason)
	return status
}

func (r *rig) exchange(client *http.Client, address, id string, c call) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(wire["deadline"], fmt.Sprint(c.deadline.Milliseconds()))
	for name, value := range c.fields {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // an unread rest is not wanted
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, ""
}

// checkServed returns an error if no request was served: the run shows nothing then.
func (r *rig) checkServed() error {
	served := 0
	r.note(func(l *ledger) { served = l.counts[http.StatusOK] })
	if served == 0 {
		return errors.New("no request was served")
	}
	return nil
}

// addEngine starts an engine on a machine of its own.
func (r *rig) addEngine(e *engine) error {
	n := len(r.engines)
	e.rig, e.zone = r, zones[n%len(zones)]
	e.address = fmt.Sprintf("%s.%d:%d", r.fleet.net, 101+n, r.fleet.ports.engine)
	r.engines = append(r.engines, e)
	return e.start(uint64(n + 1))
}
