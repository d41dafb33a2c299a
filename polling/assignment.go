// Package polling assigns the upstreams of a fleet to the instances that poll them. It is pure.
package polling

import (
	"iter"
	"math"

	"github.com/cespare/xxhash/v2"

	"celeryport/loadshare"
)

// Assignment is the part of the upstreams that one instance polls.
//
// Instances and upstreams have positions on a ring. An upstream is polled by the instances that
// follow it on the ring, so an instance polls the upstreams between itself and an instance that
// precedes it. All instances compute the same assignment without communication, and when one
// leaves, only its part moves to others. The cost is that of one pass over the instances and one
// over the upstreams, not of all pairs.
type Assignment struct {
	everything bool
	own        uint64 // position of the instance
	arc        uint64 // distance back to the first instance whose upstreams are left to others
}

// Assign returns the assignment of the instance self if each upstream is polled by the given
// number of instances. names lists all instances that poll; self may be among them.
func Assign(self string, names iter.Seq[string], pollers int) Assignment {
	a := Assignment{own: positionOf(self)}
	nearest := make([]uint64, pollers) // distances back to the nearest other instances, ascending
	for i := range nearest {
		nearest[i] = math.MaxUint64
	}
	others := 0
	for name := range names {
		if name == self {
			continue
		}
		others++
		insert(nearest, a.own-positionOf(name))
	}
	a.everything = others < pollers
	a.arc = nearest[pollers-1]
	return a
}

// insert adds a value to an ascending list of fixed length and drops the largest one.
func insert(ascending []uint64, value uint64) {
	for i := range ascending {
		if value < ascending[i] {
			ascending[i], value = value, ascending[i]
		}
	}
}

// Includes reports whether the instance polls an upstream.
func (a Assignment) Includes(upstream loadshare.Key) bool {
	return a.everything || a.own-spread(uint64(upstream)) < a.arc
}

func positionOf(name string) uint64 { return spread(xxhash.Sum64String(name)) }

// spread is a bijection that separates the positions of names that hash to similar values.
func spread(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
