package bench

import (
	"fmt"
	"strings"
	"time"

	"celeryport/standin/enginemodel"
	"celeryport/upstream"
)

// host runs one engine model and announces it.
type host struct {
	world       *world
	index       int
	name        string
	incarnation uint64
	sequence    uint64
	engine      *enginemodel.Engine
	config      enginemodel.Config
	down        bool
	jobs        map[string]*flight // by engine job id
	wakeAt      time.Duration      // planned wake, -1: none
	overbooked  string             // the first job that can't be held here
}

// noWake says that no wake is planned.
const noWake = time.Duration(-1)

func newHost(w *world, index int, config enginemodel.Config) *host {
	h := &host{
		world: w, index: index, name: fmt.Sprintf("engine-%02d", index), incarnation: 1,
		config: config, jobs: map[string]*flight{}, wakeAt: noWake,
	}
	h.engine = enginemodel.New(config, w.time())
	return h
}

// announceEvery is the interval of announcements.
const announceEvery = time.Second

// announce tells two instances directly; the others hear it relayed, without
// the cache events.
func (h *host) announce() {
	w := h.world
	if !h.down {
		a := h.announcement()
		direct := [2]int{h.index % len(w.instances), (h.index + 1) % len(w.instances)}
		for i, instance := range w.instances {
			delay := networkDelay
			heard := a
			if i != direct[0] && i != direct[1] {
				heard.CacheEvents = nil
				delay += time.Duration(w.random.Int64N(int64(relayMax)))
			}
			age := delay - networkDelay
			w.after(delay, func() { instance.hear(heard, age) })
		}
	}
	w.after(announceEvery, h.announce)
}

func (h *host) announcement() upstream.Announcement {
	now := h.world.time()
	h.sequence++
	return upstream.Announcement{
		Name: h.name, Incarnation: h.incarnation, Sequence: h.sequence, Address: h.name + ":1",
		Kind: upstream.Engine, Targets: []string{model}, MemoryTokens: h.config.MemoryTokens,
		Slots: h.config.MaxRunning, Load: h.engine.Load(now), CacheEvents: h.engine.CacheEvents(now),
	}
}

// submit gives the engine a job of a flight; false means that it refused.
func (h *host) submit(f *flight, job enginemodel.Job) bool {
	if held := max(job.MemoryTokens, 1); job.MemoryTokens == 0 && job.PromptTokens+job.OutputTokens > h.config.MemoryTokens || held > h.config.MemoryTokens {
		h.overbooked = job.ID
	}
	if h.down || h.engine.Submit(h.world.time(), job) != nil {
		return false
	}
	h.jobs[job.ID] = f
	h.touched()
	return true
}

func (h *host) cancel(id string) {
	if h.down {
		return
	}
	h.engine.Cancel(h.world.time(), id)
	delete(h.jobs, id)
	h.touched()
}

// touched takes the engine's events and plans its next wake.
func (h *host) touched() {
	w := h.world
	for _, e := range append([]enginemodel.Event(nil), h.engine.Advance(w.time())...) {
		h.deliver(e)
	}
	h.planWake()
}

func (h *host) planWake() {
	w := h.world
	next := h.engine.Next()
	if next.IsZero() || h.down {
		h.wakeAt = noWake
		return
	}
	at := max(next.Sub(epoch), w.now)
	if at == h.wakeAt {
		return
	}
	h.wakeAt = at
	w.events.plan(at, func() {
		if h.wakeAt == at && !h.down {
			h.wakeAt = noWake
			h.touched()
		}
	})
}

func (h *host) deliver(e enginemodel.Event) {
	f := h.jobs[e.ID]
	if f == nil {
		return
	}
	if e.Kind == enginemodel.Finished {
		delete(h.jobs, e.ID)
		h.world.after(networkDelay, func() { f.finished(e) })
		return
	}
	if e.Offset == 1 {
		h.world.after(networkDelay, func() { f.firstToken(e) })
	}
}

// die ends the engine with all that it has.
func (h *host) die() {
	h.down = true
	h.wakeAt = noWake
	lost := h.jobs
	h.jobs = map[string]*flight{}
	for _, id := range sortedKeys(lost) {
		f := lost[id]
		h.world.after(networkDelay, f.cut)
	}
}

// restart starts a new incarnation.
func (h *host) restart() {
	h.down = false
	h.incarnation++
	h.sequence = 0
	h.engine = enginemodel.New(h.config, h.world.time())
}

// jobID names an attempt on the engine.
func jobID(instance string, request string, attempt uint32) string {
	return strings.Join([]string{instance, request, fmt.Sprint(attempt)}, "/")
}
