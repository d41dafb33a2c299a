package agreement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"celeryport/consensus"
)

const (
	testSeeds   = 6000
	testSteps   = 400
	settleSteps = 4000
)

// voter is a simulated voter with its disk.
type voter struct {
	address  string
	id       consensus.ID
	initial  bool
	awaits   bool
	disk     Acceptor
	founding *consensus.Configuration // stored when it began
	up       bool
	proposal *Proposal // lost in a crash
	phase    int       // number of requests sent by the proposal
}

// message is a request on its way, or the answer to it.
type message struct {
	from, to string // voters, by address; of the request
	request  Request
	answer   *Answer
}

type world struct {
	t        *testing.T
	random   *rand.Rand
	rules    Rules
	voters   map[string]*voter
	messages []message
	folders  int
	wipes    int // disks that may still be lost
	lost     int // voters that may still be lost for good
	never    map[string]bool
	decided  *consensus.Configuration
}

func newWorld(t *testing.T, seed uint64, count int, majority bool) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 0)), voters: map[string]*voter{}, never: map[string]bool{}}
	w.rules.Majority = majority
	for i := range count {
		address := fmt.Sprint("address-", i)
		w.rules.Voters = append(w.rules.Voters, address)
		v := &voter{address: address, up: true, initial: true, awaits: true}
		w.voters[address] = v
		w.format(v)
	}
	return w
}

func (w *world) format(v *voter) {
	w.folders++
	v.id, v.disk, v.founding, v.proposal = consensus.ID(fmt.Sprint("folder-", w.folders)), Acceptor{}, nil, nil
}

// wipe empties the disk of a voter. Where a majority may found the group, it comes back with settings that
// don't let it found one, elsewhere with its original settings.
func (w *world) wipe(v *voter) {
	w.format(v)
	if w.rules.Majority {
		v.initial, v.awaits = false, false
	}
}

func (w *world) any() *voter { return w.voters[w.rules.Voters[w.random.IntN(len(w.rules.Voters))]] }

// begin stores a decision, which must be the only one.
func (w *world) begin(v *voter, chosen *consensus.Configuration) {
	if w.decided != nil && !reflect.DeepEqual(w.decided, chosen) {
		w.t.Fatalf("two groups: %v and %v", w.decided, chosen)
	}
	w.decided = chosen
	v.founding, v.proposal = chosen, nil
}

func (w *world) propose(v *voter) {
	if !v.up || !v.awaits || v.founding != nil {
		return
	}
	known := map[string]consensus.ID{}
	for _, other := range w.voters {
		if !w.never[other.address] && w.random.IntN(2) == 0 {
			known[other.address] = other.id
		}
	}
	ballot := Ballot{Number: v.disk.Promised.Number + 1, Proposer: v.id}
	v.proposal, v.phase = NewProposal(w.rules, ballot, true, known), 0
	w.send(v)
}

func (w *world) send(v *voter) {
	v.phase++
	for _, to := range w.rules.Voters {
		if to != v.address {
			w.messages = append(w.messages, message{from: v.address, to: to, request: v.proposal.Request()})
		}
	}
	w.count(v, v.address, v.proposal.Request(), v.handle(v.proposal.Request()))
}

func (v *voter) handle(r Request) *Answer {
	if v.founding != nil {
		return nil
	}
	next, granted := v.disk.Handle(&r)
	v.disk = next
	return &Answer{
		ID: v.id, Initial: v.initial, Granted: granted,
		Promised: next.Promised, Accepted: next.Accepted, Value: next.Value,
	}
}

// count passes an answer to the proposal that asked for it.
func (w *world) count(v *voter, from string, r Request, a *Answer) {
	if v.proposal == nil || v.proposal.ballot != r.Ballot || a == nil {
		return
	}
	if r.Value == nil {
		v.proposal.Promised(from, *a)
		if v.phase == 1 && v.proposal.Prepare() {
			w.send(v)
		}
		return
	}
	v.proposal.Accepted(from, *a)
	if chosen := v.proposal.Chosen(); chosen != nil {
		w.begin(v, chosen)
	}
}

// deliver hands over a message, possibly again later.
func (w *world) deliver(repeat bool) {
	if len(w.messages) == 0 {
		return
	}
	at := w.random.IntN(len(w.messages))
	m := w.messages[at]
	if !repeat {
		w.messages[at] = w.messages[len(w.messages)-1]
		w.messages = w.messages[:len(w.messages)-1]
	}
	if m.answer != nil {
		if v := w.voters[m.from]; v.up {
			w.count(v, m.to, m.request, m.answer)
		}
		return
	}
	if v := w.voters[m.to]; v.up && !w.never[m.to] {
		if answer := v.handle(m.request); answer != nil {
			w.messages = append(w.messages, message{from: m.from, to: m.to, request: m.request, answer: answer})
		}
	}
}

func (w *world) step() {
	v := w.any()
	switch at := w.random.IntN(100); {
	case at < 70:
		w.deliver(w.random.IntN(10) == 0)
	case at < 80:
		if len(w.messages) > 0 {
			last := len(w.messages) - 1
			w.messages[w.random.IntN(last+1)] = w.messages[last]
			w.messages = w.messages[:last]
		}
	case at < 88:
		w.propose(v)
	case at < 92:
		v.up, v.proposal = false, nil
	case at < 97:
		v.up = !w.never[v.address]
	case at < 99:
		if w.wipes > 0 {
			w.wipes--
			w.wipe(v)
		}
	default:
		if w.lost > 0 && !w.never[v.address] {
			w.lost--
			w.never[v.address], v.up, v.proposal = true, false, nil
		}
	}
}

// Guards against two groups that are founded beside each other, and against a voter that never comes and
// keeps the group from being founded.
func TestOneGroupIsFoundedWithoutAMinority(t *testing.T) {
	for _, count := range []int{3, 5, 6} {
		for seed := range uint64(testSeeds) {
			w := newWorld(t, seed, count, true)
			majority := count/2 + 1
			w.lost = w.random.IntN(count - majority + 1)
			w.wipes = w.random.IntN(count - majority - w.lost + 1)
			w.run(seed)
			w.settle(seed)
		}
	}
}

// Guards against a second group although more disks are lost than may be: it takes a majority of them.
func TestNoSecondGroupUnlessAMajorityLosesItsDisks(t *testing.T) {
	for _, count := range []int{3, 5, 6} {
		for seed := range uint64(testSeeds) {
			w := newWorld(t, seed, count, true)
			w.wipes, w.lost = count/2, count
			w.run(seed)
		}
	}
}

// Guards against a voter that lost its disk and founds a second group since it still has its original
// settings: without the majority rule all voters are needed.
func TestWipedVotersWithOriginalSettingsFoundNoSecondGroup(t *testing.T) {
	for _, count := range []int{3, 5, 6} {
		for seed := range uint64(testSeeds) {
			w := newWorld(t, seed, count, false)
			w.wipes = count - 1
			w.run(seed)
			w.settle(seed)
		}
	}
}

func (w *world) run(seed uint64) {
	for range testSteps {
		w.step()
	}
	if w.t.Failed() {
		w.t.Fatalf("%d voters, seed %d", len(w.rules.Voters), seed)
	}
}

// settle ends the faults and expects a decision.
func (w *world) settle(seed uint64) {
	for _, v := range w.voters {
		v.up = !w.never[v.address]
	}
	for at := 0; at < settleSteps && w.decided == nil; at++ {
		if len(w.messages) > 0 {
			w.deliver(false)
			continue
		}
		w.propose(w.any())
	}
	if w.decided == nil {
		w.t.Fatalf("%d voters, seed %d: no group is founded", len(w.rules.Voters), seed)
	}
}

func TestVotersWaitForAMinorityOnly(t *testing.T) {
	rules := Rules{Voters: []string{"a", "b", "c"}, Majority: true, Wait: time.Second}
	initial, wiped := Present{Initial: true, Awaits: true}, Present{}
	tests := []struct {
		name          string
		present       map[string]Present
		majority      bool
		atOnce, later string
	}{
		{"all", map[string]Present{"a": initial, "b": initial, "c": initial}, true, "a", "a"},
		{"one is missing", map[string]Present{"b": initial, "c": initial}, true, "", "b"},
		{"one is missing, all are needed", map[string]Present{"b": initial, "c": initial}, false, "", ""},
		{"two are missing", map[string]Present{"c": initial}, true, "", ""},
		{"one lost its disk", map[string]Present{"a": wiped, "b": initial, "c": initial}, true, "b", "b"},
		{"two lost their disks", map[string]Present{"a": wiped, "b": wiped, "c": initial}, true, "", "c"},
		{"one lost its disk, one is missing", map[string]Present{"b": wiped, "c": initial}, true, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var wait Wait
			now := time.Unix(1, 0)
			rules.Majority = test.majority
			atOnce, _ := wait.Round(now, &rules, test.present)
			later, partial := wait.Round(now.Add(rules.Wait), &rules, test.present)
			if atOnce != test.atOnce || later != test.later || partial != (later != "") {
				t.Errorf("%q at once, %q later, without the others: %t", atOnce, later, partial)
			}
		})
	}
}

// Guards against a data folder that counts twice since its voter moved to another address.
func TestFolderCountsOnce(t *testing.T) {
	rules := Rules{Voters: []string{"a", "b", "c"}, Majority: true}
	p := NewProposal(rules, Ballot{Number: 1, Proposer: "f"}, true, nil)
	for _, address := range rules.Voters {
		p.Promised(address, Answer{ID: "f", Initial: true, Granted: true})
	}
	if p.Prepare() {
		t.Error("one folder is a majority")
	}
}
