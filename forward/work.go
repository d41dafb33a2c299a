package forward

import (
	"context"
	"time"

	"celeryport/loadshare"
)

// work is a send that is under way.
type work struct {
	lead    *node
	helpers []*node       // that read a part of the prompt each
	part    time.Duration // of the reading, at the lead engine and each helper
	memory  []*reservation

	renewing     context.Context // ends with the send; set while memory is reserved
	stopRenewing context.CancelFunc

	tight bool // its pauses have to be short
	late  bool // its answer can't be in time any more
	held  int  // tokens of memory at the lead engine

	granted bool // by the arbiter, which has counted it where a rate is named
}

// begin notes a send. The lock must be held.
func (f *fleet) begin(now time.Time, w *work) {
	if !w.granted {
		f.countLimited(now, w.lead)
	}
	w.lead.beginTrial(now, w)
	for _, n := range w.helpers {
		n.beginTrial(now, w)
	}
	w.lead.load = w.lead.load.Add(w.atLead())
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
	f.changed()
}

// beginReading notes until when a node reads its part of a prompt, after all that
// it has to read already. The prediction ends by itself: an answer that is lost on
// its way must not keep its engines idle until its deadline, while other calls are
// refused for want of them.
func (f *fleet) beginReading(now time.Time, w *work, n *node) {
	if n.reading == nil {
		n.reading = map[*work]time.Time{}
	}
	n.reading[w] = now.Add(f.loadOf(now, n).PrefillTime + w.part)
}

// answering notes that the answer of a send has begun: its prompt is read.
func (f *fleet) answering(w *work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endReading(w)
}

// end notes the end of a send.
func (f *fleet) end(w *work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endReading(w)
	w.lead.endTrial(w)
	for _, n := range w.helpers {
		n.endTrial(w)
	}
	at := w.atLead()
	w.lead.load = w.lead.load.Add(loadshare.Load{Streams: -at.Streams, Tight: -at.Tight, Late: -at.Late, Held: -at.Held})
	for _, r := range w.memory {
		r.node.load.Held -= r.tokens
	}
	f.changed()
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
	f.changed()
}

// late notes that a stream can't be in time any more: its engine need not be kept
// from long reading for it.
func (f *fleet) late(w *work) {
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
	f.changed()
}

// atLead is what a send takes at its lead engine besides the reading.
func (w *work) atLead() loadshare.Load {
	load := loadshare.Load{Streams: 1, Held: w.held}
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

// helperList names the helpers, those that keep a part of the prompt first and in
// the order in which their memory is filled.
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
