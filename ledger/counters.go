package ledger

import (
	"slices"

	"celeryport/verdict"
)

// Counters holds the counters of one series, ordered by field.
type Counters struct {
	Fields []Field
	Values []uint64
}

// find returns the index of a field, or the index at which to insert it.
func (c *Counters) find(f Field) (int, bool) { return slices.BinarySearch(c.Fields, f) }

// Get returns the value of a field, or 0 if it was never counted.
func (c *Counters) Get(f Field) uint64 {
	if i, found := c.find(f); found {
		return c.Values[i]
	}
	return 0
}

// Add adds n to a field and returns the field's index and whether it is new.
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

// Raise sets each field to the greater of both values and returns the increases.
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

// Received is the number of requests received.
func (c *Counters) Received() uint64 { return c.sumOf(KindReceived) }

// Served is the number of complete answers, including late ones.
func (c *Counters) Served() uint64 { return c.sumOf(KindServed) }

// Refused is the number of requests that are proven not to have run.
func (c *Counters) Refused() uint64 { return c.sumOf(KindRefused) }

// Failed is the number of requests that failed after they were admitted.
func (c *Counters) Failed() uint64 { return c.sumOf(KindFailed) }

// Ended is the number of requests that received their final answer.
func (c *Counters) Ended() uint64 { return c.Served() + c.Refused() + c.Failed() }

// InFlight is the number of requests without a final answer.
func (c *Counters) InFlight() int64 { return int64(c.Received()) - int64(c.Ended()) }

// RefusedFor is the number of requests that were refused for a reason.
func (c *Counters) RefusedFor(reason verdict.Reason) uint64 { return c.Get(refusedField(reason)) }

// withoutBins returns a copy of the counters without latency bins.
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

// valid reports whether counters that came from another process are well formed.
func (c *Counters) valid() bool {
	if len(c.Fields) != len(c.Values) {
		return false
	}
	for i := 1; i < len(c.Fields); i++ {
		if c.Fields[i-1] >= c.Fields[i] {
			return false // unordered, or a duplicate field that would count twice
		}
	}
	return true
}
