package ledger

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

// shards is the number of locks that an account is divided into, to reduce lock
// contention between request goroutines.
const shards = 32

// Account counts the requests of one incarnation of one instance. It implements
// Recorder and is safe for concurrent use.
type Account struct {
	id      ID
	started time.Time
	log     logrus.FieldLogger
	names   atomic.Pointer[Names]
	tree    func() *settings.Tree // nil: names change only through Configure
	seed    maphash.Seed

	// epoch is incremented by each copy. Every change of a counter is marked with
	// the epoch in which it was made.
	epoch  atomic.Uint64
	closed atomic.Bool

	open         [shards]openRequests
	seriesShards [shards]seriesShard
}

// NewAccount returns an empty account. It counts every request under Other until
// Configure installs the names of a settings tree.
func NewAccount(id ID, started time.Time, log logrus.FieldLogger) *Account {
	a := &Account{id: id, started: started, log: log, seed: maphash.MakeSeed()}
	a.epoch.Store(1)
	for i := range shards {
		a.open[i].series = map[string]*trackedSeries{}
		a.seriesShards[i].series = map[Series]*trackedSeries{}
	}
	return a
}

// Configure installs the names and objectives of a settings tree. Requests in
// flight stay in the series under which they were received.
func (a *Account) Configure(tree *settings.Tree) { a.names.Store(NewNames(tree)) }

// Follow makes the account read the current settings tree at each request, so
// that requests of a newly added organisation are not counted under Other. It
// must be called before the first request.
func (a *Account) Follow(tree func() *settings.Tree) { a.tree = tree }

// currentNames returns the names of the current settings tree.
func (a *Account) currentNames() *Names {
	names := a.names.Load()
	if a.tree == nil {
		return names
	}
	tree := a.tree()
	if tree == nil || (names != nil && names.tree == tree) {
		return names
	}
	names = NewNames(tree)
	a.names.Store(names)
	return names
}

// Close marks the account as complete. A copy made afterwards is final, and
// reports do not list this incarnation as unknown.
func (a *Account) Close() { a.closed.Store(true) }

// Received implements Recorder.
func (a *Account) Received(r *request.Request) {
	s := a.seriesFor(a.currentNames().Series(r))
	if !a.openShard(r.ID).put(r.ID, s) {
		a.misuse(r, "received twice")
		return
	}
	s.update(&a.epoch, func(t *trackedSeries) { t.add(plainField(KindReceived), 1) })
}

// Served implements Recorder.
func (a *Account) Served(r *request.Request, served Served) {
	s := a.end(r, "served without having been received, or ended twice")
	if s == nil {
		return
	}
	objectives := a.currentNames().objectives(s.name.Class)
	s.update(&a.epoch, func(t *trackedSeries) { t.addServed(r, served, objectives) })
}

// Refused implements Recorder.
func (a *Account) Refused(r *request.Request, reason verdict.Reason) {
	s := a.end(r, "refused without having been received, or ended twice")
	if s == nil {
		return
	}
	s.update(&a.epoch, func(t *trackedSeries) { t.add(refusedField(reason), 1) })
}

// Failed implements Recorder.
func (a *Account) Failed(r *request.Request, reason verdict.Reason, v verdict.Verdict) {
	s := a.end(r, "failed without having been received, or ended twice")
	if s == nil {
		return
	}
	s.update(&a.epoch, func(t *trackedSeries) { t.add(failedField(reason, v), 1) })
}

// end removes an open request and returns the series under which it was received,
// or nil if the request is not open. The end must be counted in that series even
// if the names have changed since; otherwise one series would show a request in
// flight forever and another a negative number of them.
func (a *Account) end(r *request.Request, misuse string) *trackedSeries {
	s := a.openShard(r.ID).take(r.ID)
	if s == nil {
		a.misuse(r, misuse)
	}
	return s
}

func (a *Account) misuse(r *request.Request, violation string) {
	outOfOrder.Log(a.log, event.Fields{"request": r.ID, "what": violation})
}

func (a *Account) openShard(id string) *openRequests {
	return &a.open[maphash.String(a.seed, id)%shards]
}

func (a *Account) seriesFor(name Series) *trackedSeries {
	return a.seriesShards[maphash.Comparable(a.seed, name)%shards].get(name)
}
