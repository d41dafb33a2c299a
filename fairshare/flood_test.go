package fairshare

import (
	"fmt"
	"testing"
	"time"

	"celeryport/quota"
)

// slotFleet plays short prompts against the slots of a fleet on virtual time: a call holds a slot
// for a second, and is late if none is free when it arrives.
type slotFleet struct {
	ledger  *Ledger
	floor   *Floor
	ends    []time.Time // of the running calls, in the order of their starts
	pending []quota.Grant
	draws   float64
}

const (
	slotLimit  = 260 // 26 engines with 10 slots below the normal limit
	slotSpare  = 52  // and 2 above it
	streamTime = time.Second
	floodSteps = 3000
	floodStep  = 10 * time.Millisecond
	// others organisations send one call in each step together, 100 in a second. They leave 160 of
	// the 260 slots, and the flooding one sends 20 times that.
	others      = 8
	floodInStep = 32
)

// exchange states the demands and applies the grants of the statements before, as old as they are
// after the way through a voter and the leader.
func (f *slotFleet) exchange(now time.Time) {
	f.ledger.Apply(now, f.pending)
	f.pending = quota.Allocate(nil, []quota.Statement{{Instance: "a", Demands: f.ledger.Demands(now)}})[0].Grants
	Fill(f.pending, func(string) float64 { return 1 })
}

// call admits and places one call and reports whether it was refused or late.
func (f *slotFleet) call(now time.Time, organisation string, shares bool) (refused, late bool) {
	f.ledger.Offered(now, organisation, 1, streamTime)
	if shares {
		f.draws += 0.37
		key := FloorKey{Organisation: organisation, Route: "chat"}
		if Admit(now, f.ledger.Standing(now, organisation), len(f.ends) < slotLimit, f.floor, key, f.draws-float64(int(f.draws))).Refused {
			return true, false
		}
	}
	if len(f.ends) >= slotLimit+slotSpare {
		return false, true
	}
	f.ends = append(f.ends, now.Add(streamTime))
	f.ledger.Served(now, organisation, streamTime)
	return false, false
}

// playSlots returns the refused and late calls of the others, all of their calls, and the served
// calls of the flooding organisation a second, without the first 5 s.
func playSlots(flood, shares bool) (bad, total int, floodServed float64) {
	f := &slotFleet{ledger: NewLedger(), floor: NewFloor()}
	const settled = 500
	for step := range floodSteps {
		now := start.Add(time.Duration(step) * floodStep)
		for len(f.ends) > 0 && !f.ends[0].After(now) {
			f.ends = f.ends[1:]
		}
		if step%100 == 0 {
			f.exchange(now)
		}
		if flood {
			for range floodInStep {
				if refused, late := f.call(now, "flood", shares); !refused && !late && step >= settled {
					floodServed++
				}
			}
		}
		refused, late := f.call(now, fmt.Sprint("other-", step%others), shares)
		if step >= settled {
			total++
			if refused || late {
				bad++
			}
		}
	}
	return bad, total, floodServed / ((floodSteps - settled) * floodStep.Seconds())
}

// Guards against one organisation that sends 20 times its share of short prompts and makes those of
// the others late.
func TestFloodOfShortPromptsKeepsTheOthersInTime(t *testing.T) {
	without, total, _ := playSlots(false, true)
	with, _, served := playSlots(true, true)
	unprotected, _, _ := playSlots(true, false)
	t.Logf("%d of %d are late or refused without the flood, %d with it, %d without shares; the flood is served %.0f calls a second", without, total, with, unprotected, served)
	if with > without+total/10 {
		t.Errorf("%d of %d calls of the others are late or refused, %d without the flood", with, total, without)
	}
	if unprotected < total/2 {
		t.Errorf("only %d are late without shares: the flood is too small to show the difference", unprotected)
	}
	if served < 0.8*(slotLimit-100) {
		t.Errorf("the flooding organisation is served %.0f calls a second of a share of %d", served, slotLimit-100)
	}
}
