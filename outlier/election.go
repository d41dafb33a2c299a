package outlier

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"celeryport/loadshare"
)

const (
	// probers is how many instances are expected to probe an ejected upstream. They keep it ejected for all, which
	// takes doubtQuorum.
	probers = 4
	// countableDoubts is the number of doubts that may stand for more: a zone reports at most that many.
	countableDoubts = 15
)

// Fleet is an instance's place among all that use the same upstreams. The zero value is an instance alone.
type Fleet struct {
	Instance  uint64 // hash of its name
	Instances int
}

// doubters estimates how many instances doubt an upstream.
func (f Fleet) doubters(doubts int) int {
	known := max(1, doubts/fullDoubt)
	if doubts >= countableDoubts {
		return max(known, f.Instances)
	}
	return known
}

// probes reports whether the instance is one of those that probe an upstream after an ejection. Each instance
// computes it by itself, so that the number of probes does not grow with the fleet.
func (f Fleet) probes(upstream loadshare.Key, ejection, doubters int) bool {
	if doubters <= probers {
		return true
	}
	data := binary.LittleEndian.AppendUint64(nil, f.Instance)
	data = binary.LittleEndian.AppendUint64(data, uint64(upstream))
	data = binary.LittleEndian.AppendUint64(data, uint64(ejection))
	return float64(xxhash.Sum64(data)) < math.MaxUint64*probers/float64(doubters)
}
