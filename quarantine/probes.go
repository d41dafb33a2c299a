package quarantine

import (
	"slices"
	"time"
)

// Probes lets single requests with all parts of a blamed group through, so that an instance that has
// only its own evidence finds out which groups are blamed wrongly: an answer clears the parts, a crash
// is evidence against them. The less of the evidence is against the parts of the request alone, the
// sooner. Probes is not safe for concurrent use.
type Probes struct {
	request Fingerprint // the last probe
	group   PartGroup
	at      time.Time // when it was let through first
	checks  int       // how often it was let through

	history []probeHistory // of the groups that control blames
}

const (
	// probeWait is how long a probe without a result keeps others from being let through.
	probeWait = 2 * time.Second
	// maxProbeChecks bounds how often a probe is let through: when it is admitted, sent and sent again.
	maxProbeChecks = 3
)

// Rejects reports whether a request must not be sent because it has all parts of a blamed group. A
// request that has and is not rejected is a probe; its parts are checked again before each send.
func (p *Probes) Rejects(now time.Time, reg *PartRegistry, request Fingerprint, parts []Part, limits *PartLimits) bool {
	var probed PartGroup
	for _, group := range reg.Groups {
		if !group.within(parts) {
			continue
		}
		if now.Before(reg.probeAt(group, parts, limits)) {
			return true
		}
		probed = group
	}
	return probed != nil && !p.admit(now, reg.Groups, request, probed)
}

// RejectsListed reports whether a request must not be sent because it has all parts of a group that is
// blamed by the evidence of all instances. Only requests that lack the alternatives to the group are
// probes, and only if it is this instance's turn and no probe has failed lately.
func (p *Probes) RejectsListed(now time.Time, list *List, request Fingerprint, parts []Part, turn bool) bool {
	var probed PartGroup
	for _, group := range list.Groups() {
		if !group.within(parts) {
			continue
		}
		if (!turn || p.pauses(now, group)) && !p.is(now, request) || !lacksAlternatives(list.alternatives, group, parts) {
			return true
		}
		probed = group
	}
	return probed != nil && !p.admit(now, list.Groups(), request, probed)
}

// is reports whether a request is the last probe and its result is still to come.
func (p *Probes) is(now time.Time, request Fingerprint) bool {
	return p.checks > 0 && now.Sub(p.at) < probeWait && p.request == request
}

// admit reports whether a request may be sent as a probe.
func (p *Probes) admit(now time.Time, blamed []PartGroup, request Fingerprint, group PartGroup) bool {
	switch {
	case !p.pending(now, blamed):
		*p = Probes{request: request, group: group, at: now, history: p.history}
	case p.request != request || p.checks >= maxProbeChecks:
		return false
	}
	p.checks++
	return true
}

// RecordEnd records that an upstream ended with a request with some parts. A probe with them is not
// sent again, although the evidence may not be in the list yet.
func (p *Probes) RecordEnd(parts []Part) {
	if p.checks > 0 && p.group.within(parts) {
		p.checks = maxProbeChecks
	}
}

// pending reports whether the result of the last probe is still to come.
func (p *Probes) pending(now time.Time, blamed []PartGroup) bool {
	return p.checks > 0 && now.Sub(p.at) < probeWait &&
		slices.ContainsFunc(blamed, func(g PartGroup) bool { return slices.Equal(g, p.group) })
}

// within reports whether all parts of a group are among some parts.
func (g PartGroup) within(parts []Part) bool {
	return !slices.ContainsFunc(g, func(p Part) bool { return !slices.Contains(parts, p) })
}

// probeAt returns the earliest time at which a request with all parts of a group may be a probe: at once if
// other parts may explain each end, and the ends that no few others explain would not suffice to blame the
// group; else the later after the last end under the group, the more of the ends only its own parts explain.
func (reg *PartRegistry) probeAt(group PartGroup, parts []Part, limits *PartLimits) time.Time {
	if lacksAlternatives(reg.Alternatives, group, parts) {
		return time.Time{}
	}
	ends := reg.endsUnder(group)
	_, left := reg.explainWithout(parts, ends, limits.Started-1)
	if len(left) == 0 {
		return time.Time{}
	}
	own := PartRecord{Ends: left}
	started, all := own.tally(nil, true), own.tally(nil, false)
	share := max(
		float64(started.incidents)/float64(limits.Started),
		float64(started.ends)/float64(limits.Ends),
		float64(all.incidents)/float64(limits.Any),
	)
	if _, alone := reg.explainWithout(parts, ends, len(ends)); share < 1 && len(alone) == 0 {
		return time.Time{}
	}
	return ends[len(ends)-1].At.Add(time.Duration(min(1, share) * float64(limits.Renewal)))
}
