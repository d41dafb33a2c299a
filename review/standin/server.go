package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// server is a stand-in of a server. It prints a line for each request that it begins and ends.
type server struct {
	id, address, service, zone string
	control                    []string
	slots, events              int
	pause                      time.Duration // between two events
	unframed                   float64       // share of the answers without a length
	born                       int64

	mu      sync.Mutex
	seq     int
	state   string
	target  string // to which the next heartbeat goes first; empty: any
	active  int
	printed sync.Mutex
}

func runServer(args []string) error {
	s := &server{state: "ready", born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	control := ""
	flags.StringVar(&s.id, "id", "", "id")
	flags.StringVar(&s.address, "address", "", "address")
	flags.StringVar(&s.service, "service", "", "service")
	flags.StringVar(&s.zone, "zone", zones[0], "zone")
	flags.StringVar(&control, "control", "", "addresses of the voters")
	flags.IntVar(&s.slots, "slots", 16, "requests at once")
	flags.IntVar(&s.events, "events", 80, "events of a stream")
	flags.DurationVar(&s.pause, "pause", 45*time.Millisecond, "time for one event")
	flags.Float64Var(&s.unframed, "unframed", 0, "share of the answers that have no length and end with their connection")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s.control = strings.Split(control, ",")
	go s.heartbeats()
	go s.orders()
	return http.ListenAndServe(s.address, s)
}

// orders reads the orders of the case from standard input: drain.
func (s *server) orders() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if lines.Text() != "drain" {
			continue
		}
		s.mu.Lock()
		s.state = "draining"
		s.mu.Unlock()
		for !s.heartbeat() {
			time.Sleep(100 * time.Millisecond)
		}
		s.print("draining acknowledged")
	}
	os.Exit(0) // the case has ended
}

func (s *server) heartbeats() {
	for {
		s.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat announces the server to one voter and reports whether that was acknowledged.
func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.seq++
	body := document("heartbeat", map[string]string{
		"service": s.service, "address": s.address, "zone": s.zone, "slots": strconv.Itoa(s.slots), "state": s.state,
		"seq": strconv.Itoa(s.seq), "born": strconv.FormatInt(s.born, 10),
	})
	targets := make([]string, 0, len(s.control)+1)
	if s.target != "" {
		targets = append(targets, s.target)
	}
	s.mu.Unlock()
	for _, at := range rand.Perm(len(s.control)) {
		targets = append(targets, s.control[at])
	}
	for _, target := range targets {
		status, answer, err := call(context.Background(), http.MethodPost, "http://"+target+fmt.Sprintf(wire.Paths.Heartbeat, s.id), body)
		if err != nil || status/100 != 2 {
			continue
		}
		var fields map[string]any
		_ = json.Unmarshal(answer, &fields) // without it the next heartbeat goes to any voter
		next, _ := fields[wire.NextHeartbeat].(string)
		s.mu.Lock()
		s.target = next
		s.mu.Unlock()
		return true
	}
	return false
}

func (s *server) print(format string, args ...any) {
	s.printed.Lock()
	defer s.printed.Unlock()
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// ServeHTTP answers health checks, reports and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get(wire.Fields.Expected); wanted != "" && wanted != s.id {
		w.Header().Set(wire.Fields.Refused, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire.Paths.Health:
		w.Header().Set(wire.Fields.Server, s.id)
		return
	case wire.Paths.Report:
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = w.Write(document("report", map[string]string{"active": strconv.Itoa(s.active), "born": strconv.FormatInt(s.born, 10)})) // the poll fails otherwise
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(wire.Fields.Request)
	w.Header().Set(wire.Fields.Request, id)
	s.mu.Lock()
	full := s.active >= s.slots
	if !full {
		s.active++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set(wire.Fields.Refused, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.run(w, r, id)
}

// run writes a stream whose events go on after Last-Event-Id.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if after, err := strconv.Atoi(r.Header.Get(wire.Fields.Resume)); err == nil {
		first = after + 1
	}
	unframed := rand.Float64() < s.unframed
	s.print("runs %s from event %d, unframed %v", id, first, unframed)
	defer s.print("ends %s", id)
	var out io.Writer = w
	flush := func() { _ = http.NewResponseController(w).Flush() } // a caller that left is noticed below
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.Fields.Seal, s.id+"."+id)
	w.Header().Set(wire.Fields.Weights, "1")
	if unframed {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // the end of the answer
		out = buffered
		flush = func() { _ = buffered.Flush() } // as above
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
			wire.Fields.Request, id, wire.Fields.Seal, s.id, id, wire.Fields.Weights)
	}
	for n := first; n <= s.events; n++ {
		time.Sleep(s.pause)
		if r.Context().Err() != nil && !unframed {
			return
		}
		if _, err := out.Write(event(n, s.events)); err != nil {
			return
		}
		flush()
	}
}

// event returns one event of a stream of some events.
func event(n, events int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: event %d of %d %s\n\n", n, n, events, bytes.Repeat([]byte("."), 40))
}
