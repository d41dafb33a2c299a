package state

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0).UTC()

const testLifetime = time.Hour

// submit applies an order at the next log index.
func submit(t testing.TB, m *Machine, at time.Time, id string, base uint64, text string) Outcome {
	t.Helper()
	command := Command{At: at, Lifetime: testLifetime, Apply: &Apply{OrderID: id, Base: base, Text: []byte(text)}}
	data, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := m.Apply(m.Applied()+1, 1, data)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func TestOneWinnerForEachBase(t *testing.T) {
	// Two operators edit the same revision at the same time. If both orders were accepted,
	// the second would silently undo the change of the first.
	m := New()
	first := submit(t, m, testStart, "a", 0, "one")
	second := submit(t, m, testStart, "b", 0, "two")
	if first.Kind != Accepted || second.Kind != Conflict {
		t.Fatalf("outcomes %+v and %+v", first, second)
	}
	if second.Winner == nil || second.Winner.OrderID != "a" || second.Current != first.Revision {
		t.Fatalf("the conflict does not name the winner: %+v", second)
	}
	if string(m.Text()) != "one" {
		t.Fatalf("text %q", m.Text())
	}
}

func TestResentOrders(t *testing.T) {
	// The answer to an order is lost and the operator sends the order again, at once or much
	// later, after others have changed the settings. An order that ran twice would restore
	// the old tree.
	tests := map[string]struct {
		again time.Duration
		id    string
		base  uint64
		text  string
		want  OutcomeKind
	}{
		"at once":                   {0, "a", 0, "one", Accepted},
		"within the lifetime":       {testLifetime - 1, "a", 0, "one", Accepted},
		"after the lifetime":        {testLifetime + 1, "a", 0, "one", Expired},
		"with another text":         {0, "a", 0, "other", Reused},
		"with another base":         {0, "a", 1, "one", Reused},
		"a new order on the newest": {testLifetime + 1, "c", 2, "three", Accepted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New()
			submit(t, m, testStart, "a", 0, "one")
			submit(t, m, testStart, "b", 1, "two")
			got := submit(t, m, testStart.Add(test.again), test.id, test.base, test.text)
			if got.Kind != test.want {
				t.Fatalf("outcome %+v, want kind %d", got, test.want)
			}
			if test.want == Accepted && test.id == "a" && got.Revision != 1 {
				t.Fatalf("got %+v, want the first outcome", got)
			}
			if test.id == "a" && string(m.Text()) != "two" {
				t.Fatalf("the resent order restored %q", m.Text())
			}
		})
	}
}

func TestUnknownCommandStopsTheVoter(t *testing.T) {
	// A voter of an older version reads a command that it does not know. If it skipped the
	// command, its state would silently diverge from that of the other voters.
	if _, err := New().Apply(1, 1, []byte(`{"at":"2026-01-01T00:00:00Z","novel":{}}`)); err == nil {
		t.Fatal("an unknown command was ignored")
	}
}

func TestFenceGrowsWithEachIssuer(t *testing.T) {
	m := New()
	var last Fence
	for i := uint64(1); i < 5; i++ {
		data, err := (&Command{At: testStart, Issuer: &AssignIssuer{Holder: fmt.Sprint(i % 2), Incarnation: i}}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(i, i/2+1, data); err != nil {
			t.Fatal(err)
		}
		if fence := m.Issuer().Fence; !last.Less(fence) {
			t.Fatalf("fence %+v after %+v", fence, last)
		}
		last = m.Issuer().Fence
	}
}

// model records the expected outcome of every order that was sent.
type model struct {
	ran    map[string]uint64 // order id to the revision that it created
	byBase map[uint64]string
}

func (o *model) record(t *rapid.T, id string, base uint64, got Outcome, applied uint64) {
	if got.Kind != Accepted {
		return
	}
	if got.Revision != applied {
		if o.ran[id] != got.Revision {
			t.Fatalf("order %s now has revision %d, first %d", id, got.Revision, o.ran[id])
		}
		return
	}
	if o.ran[id] != 0 {
		t.Fatalf("order %s ran twice", id)
	}
	if other, taken := o.byBase[base]; taken {
		t.Fatalf("base %d has the winners %s and %s", base, other, id)
	}
	o.ran[id], o.byBase[base] = got.Revision, id
}

func TestOrdersRunOnceUnderResendsClockJumpsAndRestarts(t *testing.T) {
	// Operators send and resend orders concurrently, the clocks of successive leaders jump
	// in both directions, and voters restart from snapshots at any moment. No order may run
	// twice, no base may have two winners, and a restored voter must return the same
	// outcomes as the others.
	rapid.Check(t, func(t *rapid.T) {
		m, restored := New(), New()
		seen := model{ran: map[string]uint64{}, byBase: map[uint64]string{}}
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(testLifetime), int64(testLifetime)).Draw(t, "jump")))
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id")
			// An order id always stands for the same order, so its base and text follow from
			// it.
			base := seen.baseOf(id, m.Current().Number)
			command := Command{At: now, Lifetime: testLifetime, Apply: &Apply{OrderID: id, Base: base, Text: []byte(id)}}
			data, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			index := m.Applied() + 1
			got, err := m.Apply(index, 1, data)
			if err != nil {
				t.Fatal(err)
			}
			same, err := restored.Apply(index, 1, data)
			if err != nil || !reflect.DeepEqual(got, same) {
				t.Fatalf("a restored voter answers %+v, the others %+v (%v)", same, got, err)
			}
			seen.record(t, id, base, got, index)
			if rapid.Bool().Draw(t, "restart") {
				restored = restart(t, m)
			}
		}
	})
}

// baseOf returns the base of the first order with an id, or current if the id is new.
func (o *model) baseOf(id string, current uint64) uint64 {
	for base, sent := range o.byBase {
		if sent == id {
			return base
		}
	}
	return current
}

func restart(t *rapid.T, m *Machine) *Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	return restored
}
