package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// caseLimit bounds a case; a script may take 120 s.
const caseLimit = 110 * time.Second

// verdict is what a case has found. It is safe for concurrent use.
type verdict struct {
	mu     sync.Mutex
	sent   int
	served int
	broken []string
}

func (v *verdict) count(served bool, problem string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent++
	if served {
		v.served++
	}
	if problem != "" {
		v.broken = append(v.broken, problem)
	}
}

// fault notes a break of the rule that belongs to no single request.
func (v *verdict) fault(problem string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.broken = append(v.broken, problem)
}

var cases = map[string]func(ctx context.Context, r *record, trouble bool, v *verdict) error{
	"leaving":  caseLeaving,
	"founding": caseFounding,
}

// runCase plays a case and returns its exit status.
func runCase(name, folder string) int {
	play, found := cases[name]
	r, err := newRecord(folder)
	if !found || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record can be written:", name, err)
		return statusNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, caseLimit)
	defer cancelLimit()
	v := &verdict{}
	trouble := os.Getenv("TROUBLE") != "0"
	err = play(ctx, r, trouble, v)
	r.log("result", "%d requests sent, %d served, %d break the rule; trouble %v", v.sent, v.served, len(v.broken), trouble)
	for _, problem := range v.broken {
		r.log("broken", "%s", problem)
	}
	switch {
	case err != nil || v.sent == 0:
		r.log("result", "the case could not run: %v", err)
		return statusNotRun
	case len(v.broken) > 0:
		return statusBroken
	default:
		return statusHeld
	}
}

// streamDocument returns a configuration with one route for streams.
func streamDocument(version int) []byte {
	return document("document", map[string]string{"version": strconv.Itoa(version), "host": host, "key": key})
}

const (
	leavingEvents = 96
	leavingRate   = 20                     // streams a second
	spotNotice    = 2 * time.Second        // between the notice of a server and its end
	spotInterval  = 500 * time.Millisecond // between the end of a server and the notice of the next one
	leavingFor    = 90 * time.Second       // of traffic
	leavingPool   = 8                      // servers
	unframedPool  = 4                      // of these, those that send answers without a length, and leave
	unframedShare = 0.05                   // of their answers
	sendInterval  = time.Second / leavingRate
)

// caseLeaving takes servers away as a spot market does: a server reports that it drains, and is killed
// 2 s later. Of half of the servers, those that leave, one in twenty of the answers has no length. Without the trouble the server is not killed.
func caseLeaving(ctx context.Context, r *record, trouble bool, v *verdict) error {
	f, err := newFleet(ctx, r, 3, streamDocument)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	acknowledged := make(chan string, 64)
	f.onLine = func(server, line string) {
		r.log(server, "%s", line)
		if strings.HasPrefix(line, "draining") {
			acknowledged <- server
		}
	}
	started := 0
	startNext := func(unframed float64) (*process, error) {
		started++
		address := fmt.Sprintf("%s%d:8120", f.prefix, 40+started)
		return f.startServer(fmt.Sprint("i-", started), "-address", address, "-service", "huvo11a", "-zone", zones[started%len(zones)],
			"-events", fmt.Sprint(leavingEvents), "-unframed", fmt.Sprint(unframed))
	}
	servers := make([]*process, leavingPool)
	for at := range servers {
		unframed := 0.0
		if at < unframedPool {
			unframed = unframedShare
		}
		if servers[at], err = startNext(unframed); err != nil {
			return err
		}
	}
	if !pause(ctx, 5*time.Second) {
		return ctx.Err()
	}
	var clients sync.WaitGroup
	until := time.Now().Add(leavingFor)
	go func() {
		for at := 0; time.Now().Before(until) && pause(ctx, spotInterval); at++ {
			next, err := startNext(unframedShare)
			if err != nil {
				return
			}
			leaving := servers[at%unframedPool]
			servers[at%unframedPool] = next
			fmt.Fprintln(leaving.stdin, "drain")
			select {
			case <-acknowledged:
			case <-ctx.Done():
				return
			}
			pause(ctx, spotNotice)
			if trouble {
				r.log("platform", "kills %s", leaving.name)
				leaving.signal(syscall.SIGKILL)
			}
		}
	}()
	c := newClient()
	for at := 0; time.Now().Before(until) && ctx.Err() == nil; at++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		front := f.fronts[at%len(f.fronts)]
		clients.Go(func() {
			r.log("client", "sends %s to %s", id, front.name)
			a := c.send(ctx, "POST", front.host, "/draft/2f", id, 10*time.Second, prompt(id, 4960, leavingEvents), []byte("a draft"))
			problem := ""
			if a.status == 200 && a.complete {
				problem = checkStream(a.body, leavingEvents)
			}
			r.log("client", "%s gets %d, seal %q, ended as complete %v, %d bytes, %v %s", id, a.status, a.seal, a.complete, len(a.body), a.err, problem)
			if problem != "" {
				problem = id + ": ends as complete with " + problem
			}
			v.count(a.status == 200 && a.complete, problem)
		})
		pause(ctx, sendInterval)
	}
	clients.Wait()
	return nil
}
