package outlier

import (
	"cmp"
	"slices"
	"time"

	"celeryport/loadshare"
)

const (
	// fullDoubt is a doubt in the unit in which they are counted.
	fullDoubt = 2
	// doubtQuorum is how many instances have to doubt an upstream before all avoid it: the path of a single
	// one may have failed.
	doubtQuorum = 2 * fullDoubt
	// doubtFactor is how many times as many instances have to doubt an upstream as doubt others.
	doubtFactor = 3
)

// Member is an upstream of the service, with the doubts of all instances in halves.
type Member struct {
	Upstream loadshare.Key
	Doubts   int
}

// Verdict is how an upstream may be used.
type Verdict uint8

const (
	// Use means that the upstream gets calls as usual.
	Use Verdict = iota
	// Doubted means that the upstream gets only calls that can be sent again.
	Doubted
	// Probe means that one of these may probe the upstream.
	Probe
	// LateProbe means that any one call may.
	LateProbe
	// Avoid means that the upstream gets calls only if there is no other.
	Avoid
)

// Allows reports whether a call may be sent to the upstream. repeatable means that it can be sent again if the
// upstream fails it.
func (v Verdict) Allows(repeatable bool) bool {
	switch v {
	case Use, LateProbe:
		return true
	case Doubted, Probe:
		return repeatable
	default:
		return false
	}
}

// Ejection is the start of an ejection.
type Ejection struct {
	Upstream loadshare.Key
	For      time.Duration
}

// Judge returns how each of the upstreams of the service may be used, and which it has ejected, for instance
// because other instances doubt them too. At most half of the upstreams are not used as usual, those with the most evidence.
func (d *Detector) Judge(now time.Time, members []Member) ([]Verdict, []Ejection) {
	verdicts, strengths := make([]Verdict, len(members)), make([]float64, len(members))
	var began []Ejection
	var suspects []int
	isShared := sharedDoubts(members)
	for i, m := range members {
		u, shared := d.upstreams[m.Upstream], isShared(i)
		if u != nil && !u.ejection.active(now) && (u.scoreAt(now) >= ejectScore || shared && u.doubts(now) > 0) {
			began = append(began, Ejection{Upstream: m.Upstream, For: u.ejection.begin(now, false)})
		}
		if u != nil && u.ejection.active(now) && !now.Before(u.ejection.until) && !u.ejection.prober {
			u.ejection.prober = d.fleet.probes(m.Upstream, u.ejection.serial, d.fleet.doubters(m.Doubts))
			if !u.ejection.prober {
				u.release(now)
			}
		}
		switch {
		case u != nil && u.ejection.active(now):
			verdicts[i], strengths[i] = u.ejection.verdict(now), 2*ejectScore+u.scoreAt(now)
		case shared:
			verdicts[i], strengths[i] = Avoid, ejectScore+float64(m.Doubts)
		case u.doubts(now) > 0:
			verdicts[i], strengths[i] = Doubted, u.scoreAt(now)
		default:
			continue
		}
		suspects = append(suspects, i)
	}
	slices.SortStableFunc(suspects, func(a, b int) int { return cmp.Compare(strengths[b], strengths[a]) })
	for _, i := range suspects[min(len(suspects), len(members)/2):] {
		verdicts[i] = Use
	}
	return verdicts, began
}

// verdict returns how an ejected upstream may be used.
func (e *ejection) verdict(now time.Time) Verdict {
	switch {
	case e.probeDue(now, false):
		return LateProbe
	case e.probeDue(now, true):
		return Probe
	default:
		return Avoid
	}
}

// sharedDoubts reports of each member whether enough instances doubt it, compared with the others. It sorts the
// doubts once for all members, since it runs at each placement.
func sharedDoubts(members []Member) func(at int) bool {
	sorted := make([]int, len(members))
	for i, m := range members {
		sorted[i] = m.Doubts
	}
	slices.Sort(sorted)
	kept := typicalCount(len(members) - 1)
	sum := 0
	for _, doubts := range sorted[:min(kept, len(sorted))] {
		sum += doubts
	}
	return func(at int) bool {
		own := members[at].Doubts
		if own < doubtQuorum {
			return false
		}
		ofOthers := sum
		if kept > 0 && own < sorted[kept] {
			ofOthers += sorted[kept] - own // the member is among those that count
		}
		return own*kept >= doubtQuorum*kept+doubtFactor*ofOthers
	}
}
