package forward

import (
	"context"
	"time"

	"celeryport/loadshare"
)

// work is a send that is under way.
type work struct {
	home    *node
	helpers []*node       // that read a part of the prompt each
	part    time.Duration // of the reading, at the home and each helper
	memory  []*reservation

	renewing     context.Context // ends with the send; set while memory is reserved
	stopRenewing context.CancelFunc

	tight   bool          // its pauses have to be short
	held    int           // tokens of memory at the home
	reading bool          // its answer has not begun
	first   time.Duration // predicted, until its answer begins
	overdue *time.Timer   // ends reading when no answer begins
}

const (
	// overdueFactor times the prediction, and overdueLeast more, is how long a prompt
	// counts as being read. Predictions were right within 76 ms for nine in ten short
	// prompts. Without the limit one long prompt whose answer was lost kept its 17
	// engines out until its deadline: 16 of 23 stood idle for ten seconds while one
	// call in seven was refused.
	overdueFactor = 2
	overdueLeast  = 500 * time.Millisecond
)

// begin notes a send. The lock must be held.
func (f *fleet) begin(w *work) {
	w.reading = true
	w.overdue = time.AfterFunc(overdueFactor*w.first+overdueLeast, func() { f.answering(w) })
	w.home.load = w.home.load.Add(w.atHome())
	w.addParts(w.part)
	for _, r := range w.memory {
		r.node.load.Held += r.tokens
	}
	f.changed()
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
	w.overdue.Stop()
	f.endReading(w)
	at := w.atHome()
	w.home.load = w.home.load.Add(loadshare.Load{Streams: -at.Streams, Tight: -at.Tight, Held: -at.Held})
	for _, r := range w.memory {
		r.node.load.Held -= r.tokens
	}
	f.changed()
}

func (f *fleet) endReading(w *work) {
	if !w.reading {
		return
	}
	w.reading = false
	w.addParts(-w.part)
	f.changed()
}

// atHome is what a send takes at its home besides the reading.
func (w *work) atHome() loadshare.Load {
	load := loadshare.Load{Streams: 1, Held: w.held}
	if w.tight {
		load.Tight = 1
	}
	return load
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

func (w *work) addParts(part time.Duration) {
	w.home.load.Reading += part
	for _, n := range w.helpers {
		n.load.Reading += part
	}
}
