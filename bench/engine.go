package bench

import (
	"fmt"
	"strings"
	"time"

	"celeryport/standin/enginemodel"
	"celeryport/upstream"
)

// host runs one engine model and sends its announcements to the instances.
type host struct {
	simulation  *simulation
	index       int
	name        string
	incarnation uint64
	sequence    uint64
	engine      *enginemodel.Engine
	config      enginemodel.Config
	down        bool
	jobs        map[string]*sendAttempt // by engine job id
	wakeAt      time.Duration           // scheduled wake-up, or notScheduled
	overbooked  string                  // ID of the first submitted job that exceeds the engine's memory
}

// notScheduled is the time of a wake-up or tick that is not scheduled.
const notScheduled = time.Duration(-1)

func newHost(sim *simulation, index int, config enginemodel.Config) *host {
	h := &host{
		simulation: sim, index: index, name: fmt.Sprintf("engine-%02d", index), incarnation: 1,
		config: config, jobs: map[string]*sendAttempt{}, wakeAt: notScheduled,
	}
	h.engine = enginemodel.New(config, sim.time())
	return h
}

// announceInterval is the time between two announcements of an engine.
const announceInterval = time.Second

// announce sends an announcement directly to two instances. The other instances
// receive it relayed, later and without the cache events.
func (h *host) announce() {
	sim := h.simulation
	if !h.down {
		a := h.announcement()
		direct := [2]int{h.index % len(sim.instances), (h.index + 1) % len(sim.instances)}
		for i, instance := range sim.instances {
			delay := networkDelay
			heard := a
			if i != direct[0] && i != direct[1] {
				heard.CacheEvents = nil
				delay += time.Duration(sim.random.Int64N(int64(maxRelayDelay)))
			}
			age := delay - networkDelay
			sim.after(delay, func() { instance.receive(heard, age) })
		}
	}
	sim.after(announceInterval, h.announce)
}

func (h *host) announcement() upstream.Announcement {
	now := h.simulation.time()
	h.sequence++
	return upstream.Announcement{
		Name: h.name, Incarnation: h.incarnation, Sequence: h.sequence, Address: h.name + ":1",
		Kind: upstream.Engine, Targets: []string{model}, MemoryTokens: h.config.MemoryTokens,
		Slots: h.config.MaxRunning, Load: h.engine.Load(now), CacheEvents: h.engine.CacheEvents(now),
	}
}

// submit submits the job of a send attempt to the engine and reports whether the
// engine accepted it.
func (h *host) submit(attempt *sendAttempt, job enginemodel.Job) bool {
	if held := max(job.MemoryTokens, 1); job.MemoryTokens == 0 && job.PromptTokens+job.OutputTokens > h.config.MemoryTokens || held > h.config.MemoryTokens {
		h.overbooked = job.ID
	}
	if h.down || h.engine.Submit(h.simulation.time(), job) != nil {
		return false
	}
	h.jobs[job.ID] = attempt
	h.advance()
	return true
}

func (h *host) cancel(id string) {
	if h.down {
		return
	}
	h.engine.Cancel(h.simulation.time(), id)
	delete(h.jobs, id)
	h.advance()
}

// advance handles the engine's events up to the current time and schedules its
// next wake-up.
func (h *host) advance() {
	sim := h.simulation
	for _, e := range append([]enginemodel.Event(nil), h.engine.Advance(sim.time())...) {
		h.handleEvent(e)
	}
	h.scheduleWake()
}

func (h *host) scheduleWake() {
	sim := h.simulation
	next := h.engine.Next()
	if next.IsZero() || h.down {
		h.wakeAt = notScheduled
		return
	}
	at := max(next.Sub(epoch), sim.now)
	if at == h.wakeAt {
		return
	}
	h.wakeAt = at
	sim.eventQueue.schedule(at, func() {
		if h.wakeAt == at && !h.down {
			h.wakeAt = notScheduled
			h.advance()
		}
	})
}

func (h *host) handleEvent(e enginemodel.Event) {
	attempt := h.jobs[e.ID]
	if attempt == nil {
		return
	}
	if e.Kind == enginemodel.Finished {
		delete(h.jobs, e.ID)
		h.simulation.after(networkDelay, func() { attempt.finished(e) })
		return
	}
	if e.Offset == 1 {
		h.simulation.after(networkDelay, func() { attempt.firstToken(e) })
	}
}

// crash stops the engine; all its jobs are lost.
func (h *host) crash() {
	h.down = true
	h.wakeAt = notScheduled
	lost := h.jobs
	h.jobs = map[string]*sendAttempt{}
	for _, id := range sortedKeys(lost) {
		attempt := lost[id]
		h.simulation.after(networkDelay, attempt.connectionLost)
	}
}

// restart starts the engine with a new incarnation and empty state.
func (h *host) restart() {
	h.down = false
	h.incarnation++
	h.sequence = 0
	h.engine = enginemodel.New(h.config, h.simulation.time())
}

// jobID identifies a send attempt on the engines.
func jobID(instance string, request string, attempt uint32) string {
	return strings.Join([]string{instance, request, fmt.Sprint(attempt)}, "/")
}
