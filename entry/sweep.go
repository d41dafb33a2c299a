package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

const (
	// sweepInterval is how often each engine is asked, by one of the instances, which
	// requests it holds memory for.
	sweepInterval = 2 * time.Second
	// orphanGrace is how long memory of an unknown owner, or of this instance without a
	// matching request, is left alone: the owner may have only just started, or the
	// request may have only just ended.
	orphanGrace = 10 * time.Second
)

// sweeper frees engine memory that has no live owner. An instance that is killed
// cancels nothing: its requests would keep running on the engines, and its
// reservations would stay held until their leases expire. This shows as memory that
// is held while the fleet is idle.
type sweeper struct {
	options *Options
	driver  *driver
	cancels *canceller
	stop    chan struct{}
	stopped chan struct{}
}

func newSweeper(options *Options, driver *driver, cancels *canceller) *sweeper {
	return &sweeper{options: options, driver: driver, cancels: cancels, stop: make(chan struct{}), stopped: make(chan struct{})}
}

func (s *sweeper) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.sweep()
		}
	}
}

func (s *sweeper) close() {
	close(s.stop)
	<-s.stopped
}

// sweep checks the engines that this instance is responsible for. Without a valid
// lease its view of the instances may be stale, so it does nothing: it must not
// cancel requests of live instances.
func (s *sweeper) sweep() {
	view := s.options.Plane.View()
	if view == nil || view.Upstreams == nil || s.options.Clock.Now().After(view.LeaseUntil) {
		return
	}
	for i := range view.Upstreams.Upstreams {
		u := &view.Upstreams.Upstreams[i]
		if u.Announcement.Kind == upstream.Engine && s.responsibleFor(view, u.Announcement.Name) {
			s.sweepEngine(view, u)
		}
	}
}

// responsibleFor reports whether this instance sweeps the engine. Each engine is
// swept by the instance with the highest hash of the instance name and engine name,
// among those that are not gone (rendezvous hashing).
func (s *sweeper) responsibleFor(view *control.View, engine string) bool {
	best, bestHash := "", uint64(0)
	for _, i := range view.Instances {
		if i.State == membership.Gone {
			continue
		}
		if h := xxhash.Sum64String(i.Name + "\x00" + engine); best == "" || h > bestHash {
			best, bestHash = i.Name, h
		}
	}
	return best == s.options.Process.Name
}

func (s *sweeper) sweepEngine(view *control.View, u *upstream.Upstream) {
	holdings, err := s.options.Client.Holdings(context.Background(), u.Announcement.Address)
	if err != nil {
		eventSweepFailed.Log(s.options.Log, event.Fields{"upstream": u.Announcement.Name, "error": err.Error()})
		return
	}
	for i := range holdings.Held {
		h := &holdings.Held[i]
		if !orphaned(view, h, s.options.Client.Owner(), s.driver.hasRequest) {
			continue
		}
		eventOrphan.Log(s.options.Log, event.Fields{
			"upstream": u.Announcement.Name, "request": h.Request, "owner": h.Owner, "tokens": h.Tokens,
		})
		part := dispatch.Part{Name: u.Announcement.Name, Incarnation: holdings.Incarnation, Address: u.Announcement.Address}
		s.cancels.addOwned(part, h.Request, h.Attempt, h.Owner)
	}
}

// orphaned reports whether the memory that h describes has no live owner.
func orphaned(view *control.View, h *wire.Holding, self string, inFlight func(request string) bool) bool {
	age := time.Duration(h.AgeMs) * time.Millisecond
	if h.Owner == self {
		return age > orphanGrace && !inFlight(h.Request)
	}
	name, incarnation := splitOwner(h.Owner)
	for _, i := range view.Instances {
		if i.Name != name {
			continue
		}
		if i.Incarnation < incarnation {
			return false // the owner has restarted and this view is stale
		}
		return i.Incarnation > incarnation || i.State == membership.Gone
	}
	return age > orphanGrace
}

// OwnerOf returns the name by which engines know an incarnation of an instance.
func OwnerOf(instance string, incarnation uint64) string {
	return instance + "/" + strconv.FormatUint(incarnation, 10)
}

func splitOwner(owner string) (name string, incarnation uint64) {
	slash := strings.LastIndexByte(owner, '/')
	if slash < 0 {
		return owner, 0
	}
	incarnation, _ = strconv.ParseUint(owner[slash+1:], 10, 64)
	return owner[:slash], incarnation
}
