package quarantine

import (
	"slices"
	"time"
)

const (
	// probeSettling is the time after a group is blamed in which other alternatives only tell that more
	// evidence of the same ends has arrived.
	probeSettling = 250 * time.Millisecond
	// probePause is how long no probe is let through after the alternatives to a group changed first. It
	// grows by probePauseGrowth with each further change, up to maxProbePause.
	probePause       = 4 * probeWait
	probePauseGrowth = 4
	maxProbePause    = time.Minute
)

// probeHistory tells when the alternatives to a blamed group changed. An answer to a probe removes the group;
// other alternatives indicate that the probe of some instance ended its upstream as well.
type probeHistory struct {
	group  PartGroup
	others []Part
	at     time.Time     // of the last change that counts, or when the group was blamed
	pause  time.Duration // after it; 0: none counts yet
}

// observe adds the alternatives in a list.
func (h *probeHistory) observe(now time.Time, others []Part) {
	if slices.Equal(h.others, others) {
		return
	}
	h.others = others
	switch {
	case h.pause == 0 && now.Sub(h.at) >= probeSettling:
		h.at, h.pause = now, probePause
	case h.pause > 0 && now.Sub(h.at) >= h.pause:
		h.at, h.pause = now, min(h.pause*probePauseGrowth, maxProbePause)
	}
}

// Observe records the alternatives in the list of control, so that the probes of all instances of a group
// that stays blamed become rare. now is when the instance received the list.
func (p *Probes) Observe(now time.Time, list *List) {
	var kept []probeHistory
	for _, group := range list.Groups() {
		var others []Part
		if at := slices.IndexFunc(list.alternatives, func(a Alternatives) bool { return slices.Equal(a.Group, group) }); at >= 0 {
			others = list.alternatives[at].Others
		}
		history := probeHistory{group: group, others: others, at: now}
		if at := p.historyOf(group); at >= 0 {
			history = p.history[at]
			history.observe(now, others)
		}
		kept = append(kept, history)
	}
	p.history = kept
}

func (p *Probes) historyOf(group PartGroup) int {
	return slices.IndexFunc(p.history, func(h probeHistory) bool { return slices.Equal(h.group, group) })
}

// pauses reports whether no new probe of a group may be let through yet.
func (p *Probes) pauses(now time.Time, group PartGroup) bool {
	at := p.historyOf(group)
	return at >= 0 && now.Sub(p.history[at].at) < p.history[at].pause
}
