package ledger

import (
	"slices"

	"celeryport/verdict"
)

// Counters are the counters of one series, ordered by field.
type Counters struct {
	Fields []Field
	Values []uint64
}

// find returns the position of a field, or where it belongs.
func (c *Counters) find(f Field) (int, bool) { return slices.BinarySearch(c.Fields, f) }

// Get returns the value of a field, 0 if it was never counted.
func (c *Counters) Get(f Field) uint64 {
	if i, found := c.find(f); found {
		return c.Values[i]
	}
	return 0
}

// Add counts n of a field and returns its position and whether it is new.
func (c *Counters) Add(f Field, n uint64) (position int, isNew bool) {
	i, found := c.find(f)
	if !found {
		c.Fields = slices.Insert(c.Fields, i, f)
		c.Values = slices.Insert(c.Values, i, 0)
	}
	c.Values[i] += n
	return i, !found
}

// AddAll adds all counters of other.
func (c *Counters) AddAll(other *Counters) {
	for i, f := range other.Fields {
		c.Add(f, other.Values[i])
	}
}

// Raise takes the greater value of each field and returns by how much the
// fields grew.
func (c *Counters) Raise(other *Counters) Counters {
	var growth Counters
	for i, f := range other.Fields {
		old := c.Get(f)
		if other.Values[i] <= old {
			continue
		}
		c.Add(f, other.Values[i]-old)
		growth.Fields = append(growth.Fields, f)
		growth.Values = append(growth.Values, other.Values[i]-old)
	}
	return growth
}

// sumOf adds all counters of one kind.
func (c *Counters) sumOf(kind FieldKind) uint64 {
	first, _ := c.find(plainField(kind))
	var sum uint64
	for i := first; i < len(c.Fields) && c.Fields[i].Kind() == kind; i++ {
		sum += c.Values[i]
	}
	return sum
}

// Received is the number of requests that came in.
func (c *Counters) Received() uint64 { return c.sumOf(KindReceived) }

// Served is the number of whole answers, late ones included.
func (c *Counters) Served() uint64 { return c.sumOf(KindServed) }

// Refused is the number of requests that were proved not to run.
func (c *Counters) Refused() uint64 { return c.sumOf(KindRefused) }

// Failed is the number of requests that failed after they were admitted.
func (c *Counters) Failed() uint64 { return c.sumOf(KindFailed) }

// Ended is the number of requests that got their final answer.
func (c *Counters) Ended() uint64 { return c.Served() + c.Refused() + c.Failed() }

// InFlight is the number of requests without a final answer.
func (c *Counters) InFlight() int64 { return int64(c.Received()) - int64(c.Ended()) }

// RefusedFor is the number of refusals with a reason.
func (c *Counters) RefusedFor(reason verdict.Reason) uint64 { return c.Get(refusedField(reason)) }

// withoutBins returns a copy that leaves the latencies out.
func (c *Counters) withoutBins() Counters {
	end := len(c.Fields)
	for i, f := range c.Fields {
		if f.isBin() {
			end = i
			break
		}
	}
	return Counters{Fields: slices.Clone(c.Fields[:end]), Values: slices.Clone(c.Values[:end])}
}

func (c *Counters) clone() Counters {
	return Counters{Fields: slices.Clone(c.Fields), Values: slices.Clone(c.Values)}
}

// valid reports whether the counters are well formed, as those that come from
// another process must be checked.
func (c *Counters) valid() bool {
	if len(c.Fields) != len(c.Values) {
		return false
	}
	for i := 1; i < len(c.Fields); i++ {
		if c.Fields[i-1] >= c.Fields[i] {
			return false // a field that is there twice would count twice
		}
	}
	return true
}
