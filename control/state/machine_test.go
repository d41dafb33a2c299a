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

// submit applies one order at the next index.
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
	// Two operators look at the same revision and both change it. If both won,
	// the second would silently undo the first one's change.
	m := New()
	first := submit(t, m, testStart, "a", 0, "one")
	second := submit(t, m, testStart, "b", 0, "two")
	if first.Kind != Accepted || second.Kind != Conflict {
		t.Fatalf("outcomes %+v and %+v", first, second)
	}
	if second.Winner == nil || second.Winner.OrderID != "a" || second.Current != first.Revision {
		t.Fatalf("the conflict does not show the winner: %+v", second)
	}
	if string(m.Text()) != "one" {
		t.Fatalf("text %q", m.Text())
	}
}

func TestResentOrders(t *testing.T) {
	// The answer to an order is lost and the operator sends it again, at once or
	// long after, when others have changed the settings. An order that ran twice
	// would put the old tree back.
	tests := map[string]struct {
		again time.Duration
		id    string
		base  uint64
		text  string
		want  OutcomeKind
	}{
		"at once":                   {0, "a", 0, "one", Accepted},
		"within the lifetime":       {testLifetime - 1, "a", 0, "one", Accepted},
		"after the lifetime":        {testLifetime + 1, "a", 0, "one", Forgotten},
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
				t.Fatalf("not the first outcome: %+v", got)
			}
			if test.id == "a" && string(m.Text()) != "two" {
				t.Fatalf("the resent order put %q back", m.Text())
			}
		})
	}
}

func TestUnknownCommandStopsTheVoter(t *testing.T) {
	// A voter of an older version meets a command that it doesn't know. If it
	// went on, its state would differ from the others' without a sign.
	if _, err := New().Apply(1, 1, []byte(`{"at":"2026-01-01T00:00:00Z","novel":{}}`)); err == nil {
		t.Fatal("an unknown command was passed over")
	}
}

func TestFenceGrowsWithEachIssuer(t *testing.T) {
	m := New()
	var last Fence
	for i := uint64(1); i < 5; i++ {
		data, err := (&Command{At: testStart, Issuer: &TakeIssuer{Holder: fmt.Sprint(i % 2), Incarnation: i}}).Encode()
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

// model is what an onlooker notes of all orders ever sent.
type model struct {
	ran    map[string]uint64 // order id: revision that it made
	byBase map[uint64]string
}

func (o *model) note(t *rapid.T, id string, base uint64, got Outcome, applied uint64) {
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

func TestOrdersRunOnceWhateverComes(t *testing.T) {
	// Operators race, resend, and their leaders' clocks jump both ways, while
	// voters restart from snapshots at any moment. No order may run twice, no base
	// may have two winners, and a restored voter must answer like the others.
	rapid.Check(t, func(t *rapid.T) {
		m, restored := New(), New()
		seen := model{ran: map[string]uint64{}, byBase: map[uint64]string{}}
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(testLifetime), int64(testLifetime)).Draw(t, "jump")))
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id")
			// An order id stands for one order, so its base and text follow from it.
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
			seen.note(t, id, base, got, index)
			if rapid.Bool().Draw(t, "restart") {
				restored = restart(t, m)
			}
		}
	})
}

// baseOf returns the base of the first sending of an id.
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
