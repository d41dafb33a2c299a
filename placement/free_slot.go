package placement

import "celeryport/settings"

// HasFreeSlot reports whether any engine that may be used has a free slot besides those that are
// kept free for calls that other instances place at the same moment.
func HasFreeSlot(p *settings.EngineProfile, engines []Engine) bool {
	for i := range engines {
		e := &engines[i]
		if !e.Avoid && !e.Tried && e.Load.Streams < p.Slots-spareSlots {
			return true
		}
	}
	return false
}
