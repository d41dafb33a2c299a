package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"celeryport/consensus"
)

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

const testLifetime = time.Hour

var wallStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// host runs one voter on a disk of its own.
type host struct {
	id    consensus.ID
	voter *Voter
	disk  []Record
	up    bool
	skew  time.Duration // of its wall clock
}

// caller is one claimant with what it did.
type caller struct {
	id       consensus.ID
	claimant *Claimant
	frozen   bool
	inbox    []Message
	sent     bool // it sent its request to the upstream
	proved   bool // the upstream proved that it did not run it
}

// network carries messages between claimants and voters on virtual time and
// counts how often each key is sent.
type network struct {
	t       fataler
	rng     *rand.Rand
	now     time.Time
	hosts   []*host
	callers []*caller
	wire    []Message
	epochs  []Epoch
	running map[Key]int // requests that were sent and not proved to have not run
	crashes bool        // voters crash between a step and its sync
}

func newNetwork(t fataler, seed uint64, ids ...consensus.ID) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: wallStart, running: map[Key]int{}}
	w.epochs = []Epoch{{Number: 1, Voters: ids}}
	for _, id := range ids {
		w.addHost(id)
	}
	return w
}

func (w *network) addHost(id consensus.ID) *host {
	h := &host{id: id}
	w.hosts = append(w.hosts, h)
	w.start(h)
	w.enterAll(h)
	return h
}

func (w *network) start(h *host) {
	cfg := DefaultVoterConfig(h.id)
	cfg.Lifetime = testLifetime
	var decoded []Record
	for _, r := range h.disk {
		data, err := EncodeRecord(r)
		if err != nil {
			w.t.Fatalf("encode: %v", err)
		}
		again, err := DecodeRecord(data)
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		decoded = append(decoded, again)
	}
	v, err := NewVoter(cfg, decoded)
	if err != nil {
		w.t.Fatalf("start: %v", err)
	}
	h.voter, h.up = v, true
}

func (w *network) host(id consensus.ID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// change replaces the voters; every host hears of it when enterAll is called.
func (w *network) change(ids ...consensus.ID) {
	last := w.epochs[len(w.epochs)-1]
	w.epochs = append(w.epochs, Epoch{
		Number: last.Number + 1, Voters: ids, PreviousNumber: last.Number, Previous: last.Voters,
	})
}

func (w *network) enterAll(h *host) {
	for _, e := range w.epochs {
		h.voter.Enter(w.now.Add(h.skew), e)
	}
	w.pump(h)
}

// pump syncs and then sends.
func (w *network) pump(h *host) {
	if !h.up || !h.voter.HasReady() {
		return
	}
	b := h.voter.Ready()
	h.disk = append(h.disk, b.Records...)
	w.wire = append(w.wire, b.Messages...)
}

// crash loses what was not synced.
func (w *network) crash(h *host) { h.up = false }

// deliver takes the message at place i off the wire, or a copy of it.
func (w *network) deliver(i int, keep bool) {
	m := w.wire[i]
	if !keep {
		w.wire = slices.Delete(w.wire, i, i+1)
	}
	if w.rng.IntN(8) == 0 {
		m = w.overTheWire(m)
	}
	if h := w.host(m.To); h != nil {
		if h.up {
			h.voter.Step(w.now.Add(h.skew), m)
			if w.crashes && w.rng.IntN(30) == 0 {
				w.crash(h) // before the sync
			}
			w.pump(h)
		}
		return
	}
	for _, c := range w.callers {
		if c.id != m.To {
			continue
		}
		if c.frozen {
			c.inbox = append(c.inbox, m)
			continue
		}
		w.do(c, c.claimant.Step(w.now, m))
	}
}

func (w *network) overTheWire(m Message) Message {
	data, err := EncodeMessage(&m)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	decoded, err := DecodeMessage(data)
	if err != nil {
		w.t.Fatalf("decode of %s: %v", data, err)
	}
	return decoded
}

// do sends a claimant's messages and, when it may, its request.
func (w *network) do(c *caller, messages []Message) {
	w.wire = append(w.wire, messages...)
	if c.sent || !c.claimant.MaySend(w.now) {
		return
	}
	c.sent = true
	key := c.claimant.request.Key
	w.running[key]++
	if w.running[key] > 1 {
		w.t.Fatalf("key %v was sent twice", key)
	}
}

// settle ends a request that was sent.
func (w *network) settle(c *caller, o Outcome) {
	if !c.sent || c.proved || c.frozen || !c.claimant.MaySend(w.now) {
		return
	}
	if o.Kind == Released {
		c.proved = true
		w.running[c.claimant.request.Key]--
	}
	w.do(c, c.claimant.Settle(w.now, o))
}

func (w *network) tick() {
	for _, h := range w.hosts {
		if h.up {
			h.voter.Tick(w.now.Add(h.skew))
			w.pump(h)
		}
	}
	for _, c := range w.callers {
		if !c.frozen {
			w.do(c, c.claimant.Tick(w.now))
		}
	}
}

// run delivers everything in order for a while.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for len(w.wire) > 0 {
			w.deliver(0, false)
		}
		w.tick()
	}
}

// claim starts a claimant in the newest epoch.
func (w *network) claim(key string) *caller {
	return w.claimAt(key, w.epochs[len(w.epochs)-1], 10*time.Second)
}

func (w *network) claimAt(key string, e Epoch, within time.Duration) *caller {
	n := len(w.callers) + 1
	c := &caller{id: consensus.ID(fmt.Sprintf("entry%d", n))}
	c.claimant = NewClaimant(Request{
		Instance: c.id, Key: Key{"aretusa", key},
		Holder: Holder{Instance: string(c.id), Incarnation: 1, Request: fmt.Sprint(n)},
		Epoch:  e, Deadline: w.now.Add(within),
		Resend: 100 * time.Millisecond, Backoff: 40 * time.Millisecond,
		Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
	})
	w.callers = append(w.callers, c)
	w.do(c, c.claimant.Start(w.now))
	return c
}

func (w *network) expect(c *caller, want State) {
	w.t.Helper()
	if got := c.claimant.Result().State; got != want {
		w.t.Fatalf("%s has state %d, want %d", c.id, got, want)
	}
}

// keyMadeAt returns a UUIDv7 key of a time.
func keyMadeAt(at time.Time) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func TestKeysOfVersionSevenCarryTheirTime(t *testing.T) {
	at, ok := Key{Key: keyMadeAt(wallStart)}.madeAt()
	if !ok || !at.Equal(wallStart) {
		t.Fatalf("made at %v, %v", at, ok)
	}
	if _, ok := (Key{Key: uuid.Nil.String()}).madeAt(); ok {
		t.Fatal("a key of another version carries no time")
	}
}
