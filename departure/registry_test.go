package departure

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against voters that keep different departures, and against a departure that an older or repeated one undoes.
func TestDeparturesAreFinalWhateverTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, other Registry
		highest := map[string]uint64{}
		for index := uint64(1); index <= 30; index++ {
			departed := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Departure {
				return Departure{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Uint64Range(1, 4).Draw(t, "incarnation")}
			}), 0, 4).Draw(t, "departed")
			one.Add(index, departed)
			other.Add(index, departed)
			for _, d := range departed {
				highest[d.Name] = max(highest[d.Name], d.Incarnation)
			}
			data, err := json.Marshal(other)
			if err != nil {
				t.Fatal(err)
			}
			other = Registry{}
			if err := json.Unmarshal(data, &other); err != nil {
				t.Fatal(err)
			}
			if one.Version > index {
				t.Fatalf("version %d at entry %d", one.Version, index)
			}
		}
		if !reflect.DeepEqual(one.Incarnations(), highest) || !reflect.DeepEqual(other.Incarnations(), highest) {
			t.Fatalf("%v and %v, want %v", one.Incarnations(), other.Incarnations(), highest)
		}
		for name, incarnation := range highest {
			if !one.Contains(Departure{name, incarnation}) || one.Contains(Departure{name, incarnation + 1}) {
				t.Fatalf("%s: %v", name, one.Records)
			}
		}
	})
}

// Guards against a registry that grows for as long as engines come and go.
func TestDeparturesAreBounded(t *testing.T) {
	var r Registry
	for index := uint64(1); index <= 2*MaxRecords/100; index++ {
		var departed []Departure
		for n := range 100 {
			departed = append(departed, Departure{fmt.Sprint("e", index, "-", n), 1})
		}
		r.Add(index, departed)
	}
	last := r.Records[len(r.Records)-1]
	if len(r.Records) != MaxRecords || last.Index != r.Version || !r.Contains(last.Departure) {
		t.Errorf("%d records, the last one %v, version %d", len(r.Records), last, r.Version)
	}
}

// Guards against departures that are dropped with older ones, and against a drop that instances don't notice.
func TestExpiryDropsTheOldest(t *testing.T) {
	var r Registry
	for index := uint64(1); index <= 4; index++ {
		r.Add(index, []Departure{{fmt.Sprint("e", index), 1}})
	}
	r.Expire(9, 2)
	if r.Oldest() != 3 || len(r.Records) != 2 || r.Version != 9 {
		t.Errorf("%+v", r)
	}
	r.Expire(10, 2)
	if r.Version != 9 {
		t.Errorf("a drop of nothing counts as a change: %+v", r)
	}
	r.Expire(11, 4)
	if r.Oldest() != 0 || r.Version != 11 {
		t.Errorf("%+v", r)
	}
}

// Guards against departures that are dropped before the end of their retention, or never.
func TestRetentionCountsFromTheTimeOfEachDeparture(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var e Expiry
	if e.Observe(now, 0); e.Due(now.Add(2*time.Hour), time.Hour) != 0 {
		t.Error("without departures there is something to drop")
	}
	index := uint64(0)
	for minute := range 180 {
		at := now.Add(time.Duration(minute) * time.Minute)
		if minute%3 == 0 {
			index++
		}
		e.Observe(at, index)
		e.Observe(at.Add(markInterval/2), index)
		due := e.Due(at, time.Hour)
		if minute < 60 && due != 0 {
			t.Fatalf("minute %d: %d is due", minute, due)
		}
		if oldest := uint64(minute-60)/3 + 1; minute >= 60 && due != 0 && due != oldest {
			t.Fatalf("minute %d: %d is due, want %d", minute, due, oldest)
		}
		if len(e.marks) > 61 {
			t.Fatalf("%d marks", len(e.marks))
		}
	}
	if due := e.Due(now.Add(24*time.Hour), time.Hour); due != index {
		t.Errorf("at the end %d is due, want %d", due, index)
	}
}
