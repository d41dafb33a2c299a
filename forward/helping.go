package forward

import (
	"time"

	"celeryport/event"
	"celeryport/helping"
	"celeryport/loadshare"
	"celeryport/upstream"
)

// helpingAt returns what is known of the helpers of a service. The lock must be held.
func (f *fleet) helpingAt(service string) *helping.Record {
	r := f.helping[service]
	if r == nil {
		r = helping.NewRecord()
		f.helping[service] = r
	}
	return r
}

// prompt returns the send as package helping describes it.
func (s *sending) prompt() helping.Prompt {
	return helping.Prompt{Request: s.x.fingerprint, SentAt: s.sentAt}
}

// recordHelped records that a prompt was answered.
func (f *fleet) recordHelped(w *work, p helping.Prompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.helpingAt(w.lead.service).Answered(time.Now(), p, keysOf(w.helpers))
}

// recordHelperFailure records that a helper failed a prompt, unless the paths of this instance are in doubt.
func (f *fleet) recordHelperFailure(n *node, p helping.Prompt, refused bool) {
	now := time.Now()
	if f.paths.Doubtful(now, n.service) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if wait := f.helpingAt(n.service).Failed(now, p, n.key, refused); wait > 0 {
		f.logHelperEjected(n, wait)
	}
	f.notifyChanged()
}

// avoidedHelpers reports which of the nodes of a service get no parts of prompts. The lock must be held.
func (f *fleet) avoidedHelpers(now time.Time, service string, nodes []*node) []bool {
	avoided, began := f.helpingAt(service).Avoided(now, keysOf(nodes))
	for _, e := range began {
		for _, n := range nodes {
			if n.key == e.Upstream {
				f.logHelperEjected(n, e.For)
			}
		}
	}
	return avoided
}

// ejectedHelpers lists nodes of a service that get no parts of prompts, for the arbiter.
func (f *fleet) ejectedHelpers(now time.Time, snapshot *upstream.Snapshot, service string) []loadshare.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.helpingAt(service)
	if !r.Matters(now) {
		return nil
	}
	nodes, _ := f.eligibleNodes(snapshot, service)
	return r.Ejected(now, keysOf(nodes))
}

// beginHelperProbes records which helpers a send probes. The lock must be held.
func (f *fleet) beginHelperProbes(now time.Time, w *work) {
	w.probed = f.helpingAt(w.lead.service).BeginProbes(now, keysOf(w.helpers))
}

func (f *fleet) logHelperEjected(n *node, wait time.Duration) {
	eventHelperEjected.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address, "for_ms": wait.Milliseconds()})
}

func keysOf(nodes []*node) []loadshare.Key {
	keys := make([]loadshare.Key, len(nodes))
	for i, n := range nodes {
		keys[i] = n.key
	}
	return keys
}
