package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency    = 1                       // microseconds
	maxLatency    = int64(2 * 3600 * 1e6)   // microseconds
	latencyUnit   = int64(time.Microsecond) // of the histograms
	latencyDigits = 3                       // significant digits
)

// group counts the results of the requests of one length bucket or class.
type group struct {
	name       string
	results    map[Result]int
	late       int
	firstToken *hdrhistogram.Histogram
	took       *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{
		name:       name,
		results:    map[Result]int{},
		firstToken: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		took:       hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

func (g *group) add(o *Outcome, late bool) {
	g.results[o.Result]++
	if late {
		g.late++
	}
	if o.Result != Served {
		return
	}
	recordLatency(g.took, o.Took)
	if o.FirstToken > 0 {
		recordLatency(g.firstToken, o.FirstToken)
	}
}

// recordLatency clamps the value, since a histogram rejects values out of its range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxLatency, max(minLatency, int64(d)/latencyUnit)))
}

// cause is a result with its reason.
type cause struct {
	result Result
	reason string
}

// callRecord is the outcome of one request that must not be repeated.
type callRecord struct {
	key       string
	requestID string
	refused   bool // refused as not run
}

// tally collects the outcomes of a run. It is safe for concurrent use.
type tally struct {
	mu            sync.Mutex
	all           *group
	buckets       []bucket
	lengths       []*group
	classes       map[string]*group
	order         []string // class names in the order of the mix
	causes        map[cause]int
	calls         []callRecord
	accountCounts accounts
	offered       int
	tries         int
	unsent        int
	examples      map[cause]string // one detail text for each cause
}

func newTally(mix *Mix, engineMemory int) *tally {
	t := &tally{
		all:           newGroup("all"),
		buckets:       lengthBuckets(engineMemory),
		classes:       map[string]*group{},
		causes:        map[cause]int{},
		accountCounts: accounts{},
		examples:      map[cause]string{},
	}
	for _, b := range t.buckets {
		t.lengths = append(t.lengths, newGroup(b.name))
	}
	for i := range mix.Classes {
		name := mix.Classes[i].Name
		t.order = append(t.order, name)
		t.classes[name] = newGroup(name)
	}
	return t
}

func (t *tally) add(w *Work, o *Outcome, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := o.Result == Served && o.Took > deadline
	t.all.add(o, late)
	t.classes[w.Class.Name].add(o, late)
	if !w.isCall() {
		t.lengths[bucketOf(t.buckets, w.Prompt.Tokens)].add(o, late)
	}
	t.tries += o.Tries
	if o.Result != Served {
		c := cause{o.Result, o.Reason}
		t.causes[c]++
		if t.examples[c] == "" {
			t.examples[c] = o.Detail
		}
	}
	if w.Key != "" {
		t.calls = append(t.calls, callRecord{key: w.Key, requestID: o.RequestID, refused: o.Result == Refused})
	}
}

// addTry counts the outcome of one try in the account of its organisation and class.
func (t *tally) addTry(w *Work, o *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accountCounts.add(w, o)
}

func (t *tally) addUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}

func (t *tally) addOffered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
}

// progress returns a line with the counts so far.
func (t *tally) progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.all.line()
	return fmt.Sprintf("%d sent, %d in flight, %d served, %d refused, %d failed, %d lost, %d crossed",
		t.offered-t.unsent, t.offered-t.unsent-l.Requests, l.Served, l.Refused, l.Failed, l.Lost, l.Crossed)
}
