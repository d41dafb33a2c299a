package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/loadshare"
)

// work is the placement of one send: the nodes and the memory that it uses. It counts as load on
// them from begin to end.
type work struct {
	lead    *node
	helpers []*node       // engines that read a part of the prompt each
	part    time.Duration // reading time at the lead engine and at each helper
	memory  []*reservation

	patience time.Duration // for which it waits for helpers that do not reply

	renewing     context.Context // cancelled at the end of the send; set while memory is reserved
	stopRenewing context.CancelFunc

	tight      bool // its stream must have short pauses only
	late       bool // its answer is already late
	heldTokens int  // tokens of memory at the lead engine

	granted bool            // placed by the arbiter, which has counted it against named rates
	begunAt time.Time       // when it was placed
	probe   bool            // it probes whether its lead still fails calls
	probed  []loadshare.Key // helpers of which it probes whether they still fail prompts
}

// begin registers a send as in flight. The lock must be held.
func (f *fleet) begin(now time.Time, w *work) {
	w.begunAt = now
	if !w.granted {
		f.rates.limiter.Take(now, w.lead.key)
		for _, n := range w.helpers {
			f.rates.limiter.Take(now, n.key)
		}
	}
	w.lead.beginProbe(now, w)
	w.beginOutlierProbe(now)
	f.beginHelperProbes(now, w)
	for _, n := range w.helpers {
		n.beginProbe(now, w)
	}
	w.lead.load = w.lead.load.Add(w.leadLoad())
	if w.part > 0 {
		f.beginReading(now, w, w.lead)
		w.lead.load.Leading++
		for _, n := range w.helpers {
			f.beginReading(now, w, n)
			n.load.Helping++
		}
	}
	for _, r := range w.memory {
		r.node.load.Held += r.tokens
	}
	f.notifyChanged()
}

// beginReading records until when a node reads its part of a prompt, after everything that it
// already has to read. The prediction expires by itself: a lost answer must not block its
// engines until its deadline while other calls are refused for lack of engines.
func (f *fleet) beginReading(now time.Time, w *work, n *node) {
	if n.reading == nil {
		n.reading = map[*work]time.Time{}
	}
	n.reading[w] = now.Add(f.loadOf(now, n).PrefillTime + w.part)
}

// recordAnswering records that the answer of a send has begun, so that its prompt has been read.
func (f *fleet) recordAnswering(w *work) {
	for _, r := range w.memory {
		r.used.Store(true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endReading(w)
}

// end removes a send that has ended.
func (f *fleet) end(w *work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endReading(w)
	w.lead.endProbe(w)
	w.endOutlierProbe()
	f.helpingAt(w.lead.service).EndProbes(w.probed)
	for _, n := range w.helpers {
		n.endProbe(w)
	}
	at := w.leadLoad()
	w.lead.load = w.lead.load.Add(loadshare.Load{Streams: -at.Streams, Tight: -at.Tight, Late: -at.Late, Held: -at.Held})
	for _, r := range w.memory {
		r.node.load.Held -= r.tokens
	}
	f.notifyChanged()
}

func (f *fleet) endReading(w *work) {
	if _, reading := w.lead.reading[w]; !reading {
		return
	}
	delete(w.lead.reading, w)
	w.lead.load.Leading--
	for _, n := range w.helpers {
		delete(n.reading, w)
		n.load.Helping--
	}
	f.notifyChanged()
}

// recordLate records that a stream is already late, so that its engine need not be kept free of
// long reading for it.
func (f *fleet) recordLate(w *work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.late {
		return
	}
	if w.tight {
		w.lead.load.Tight--
	}
	w.tight, w.late = false, true
	w.lead.load.Late++
	f.notifyChanged()
}

// leadLoad returns the load of a send on its lead engine besides the reading.
func (w *work) leadLoad() loadshare.Load {
	load := loadshare.Load{Streams: 1, Held: w.heldTokens}
	if w.tight {
		load.Tight = 1
	}
	if w.late {
		load.Late = 1
	}
	return load
}

// helperAt returns the helper at an address, nil if there is none.
func (w *work) helperAt(address string) *node {
	for _, n := range w.helpers {
		if n.address == address {
			return n
		}
	}
	return nil
}

// freedAt reports whether memory at a helper was given up because the call did not use it.
func (w *work) freedAt(helper *node) bool {
	return slices.ContainsFunc(w.memory, func(r *reservation) bool { return r.node == helper && r.freed.Load() })
}

// helperList lists the helpers: first those with a memory reservation, in the order in which the
// memory is filled, then the others.
func (w *work) helperList() []Helper {
	list := make([]Helper, 0, len(w.helpers))
	keeps := map[*node]bool{}
	for _, r := range w.memory {
		keeps[r.node] = true
		list = append(list, Helper{Address: r.node.address, Reservation: r.name})
	}
	for _, n := range w.helpers {
		if !keeps[n] {
			list = append(list, Helper{Address: n.address})
		}
	}
	return list
}
