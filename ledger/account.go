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

// shards divide the lock of an account, so that traffic goroutines rarely wait
// for each other.
const shards = 32

// Account counts the requests of one incarnation of one instance. It implements
// Recorder and is safe for concurrent use.
type Account struct {
	id      ID
	started time.Time
	log     logrus.FieldLogger
	names   atomic.Pointer[Names]
	tree    func() *settings.Tree // nil: only Configure
	seed    maphash.Seed

	// epoch numbers the copies: whatever changes is marked with the present
	// epoch, and each copy ends one.
	epoch  atomic.Uint64
	closed atomic.Bool

	open     [shards]openRequests
	counting [shards]countedSeries
}

// NewAccount returns an empty account. It counts everything as Other until
// Configure gives it the names of a settings tree.
func NewAccount(id ID, started time.Time, log logrus.FieldLogger) *Account {
	a := &Account{id: id, started: started, log: log, seed: maphash.MakeSeed()}
	a.epoch.Store(1)
	for i := range shards {
		a.open[i].series = map[string]*trackedSeries{}
		a.counting[i].series = map[Series]*trackedSeries{}
	}
	return a
}

// Configure installs the names and objectives of a settings tree. Requests in
// flight go on counting for the series in which they were received.
func (a *Account) Configure(tree *settings.Tree) { a.names.Store(NewNames(tree)) }

// Follow makes the account look at the tree in force at each request, so that
// no request of a new organisation counts as Other. It is called before the
// first request.
func (a *Account) Follow(tree func() *settings.Tree) { a.tree = tree }

// present returns the names of the tree in force.
func (a *Account) present() *Names {
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

// Close says that nothing more will be counted: a copy taken afterwards is the
// last one, and nothing of this incarnation is unknown.
func (a *Account) Close() { a.closed.Store(true) }

// Received implements Recorder.
func (a *Account) Received(r *request.Request) {
	s := a.tracked(a.present().Series(r))
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
	objectives := a.present().objectives(s.name.Class)
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

// end returns the series in which the request was received, once. The names may
// have changed since: if the end counted for another series than the start, one
// would show a request in flight for ever and the other a negative number.
func (a *Account) end(r *request.Request, misuse string) *trackedSeries {
	s := a.openShard(r.ID).take(r.ID)
	if s == nil {
		a.misuse(r, misuse)
	}
	return s
}

func (a *Account) misuse(r *request.Request, what string) {
	outOfOrder.Log(a.log, event.Fields{"request": r.ID, "what": what})
}

func (a *Account) openShard(id string) *openRequests {
	return &a.open[maphash.String(a.seed, id)%shards]
}

func (a *Account) tracked(name Series) *trackedSeries {
	return a.counting[maphash.Comparable(a.seed, name)%shards].get(name)
}
