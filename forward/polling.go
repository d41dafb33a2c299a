package forward

import (
	"context"
	"encoding/binary"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/membership"
	"celeryport/upstream"
)

const (
	// pollInterval is how often an engine is polled: one call more a second for each
	// engine, and a dark engine is known before many calls went there.
	pollInterval = time.Second
	// pollAgain is the least time between two polls when an instance has failed to
	// reach an engine meanwhile.
	pollAgain = 300 * time.Millisecond
	// pollTimeout bounds one poll; the answer takes some milliseconds.
	pollTimeout = 300 * time.Millisecond
	// pollTick is how often it is looked whether a poll is due.
	pollTick = 100 * time.Millisecond
	// pollers is how many instances poll an engine, so that the loss of one, or of its
	// path to the engine, does not hide the engine from all.
	pollers = 2
	// reportKept is how long a report counts: two polls and a timeout.
	reportKept = 2*pollInterval + pollTimeout
	// normalPace and the steps above it are what is reported of an engine's pace; smaller
	// differences are not worth a datagram.
	normalPace = 10
	paceStep   = 5
)

// pollEngines polls those engines that fall to this instance, until ctx ends. What
// they say goes to all other instances with the loads.
func (s *Server) pollEngines(ctx context.Context) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var polled []*node
	var chosenAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(chosenAt) >= pollInterval {
				polled, chosenAt = s.nodesToPoll(), now
			}
			for _, n := range polled {
				if s.fleet.duePoll(now, n) {
					go s.poll(ctx, n)
				}
			}
		}
	}
}

// nodesToPoll lists the engines that fall to this instance.
func (s *Server) nodesToPoll() []*node {
	view := s.options.Plane.View()
	if view == nil || view.Tree == nil || view.Tree.Forwarding == nil || view.Upstreams == nil {
		return nil
	}
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*node
	for _, service := range view.Tree.Forwarding.Engines() {
		for _, u := range newestAt(view.Upstreams, service) {
			n := f.node(u)
			if !n.replaced && !n.lostSince(u.HeardAt) && fallsTo(s.options.Process.Name, n, view.Instances) {
				found = append(found, n)
			}
		}
	}
	return found
}

// lostSince reports whether a node failed to answer after its last announcement.
// Whoever answers at its address from then on may be another process, which will be
// known by its own announcement.
func (n *node) lostSince(announced time.Time) bool { return n.report.lostAt.After(announced) }

// newestAt returns the upstreams of a service without those at whose address another
// one was heard later: its successor would answer for it, and calls that are meant
// for the dead one would be sent there in vain.
func newestAt(snapshot *upstream.Snapshot, service string) []*upstream.Upstream {
	newest := map[string]*upstream.Upstream{}
	for _, at := range snapshot.Serving(service) {
		u := &snapshot.Upstreams[at]
		address := u.Announcement.Address
		if other := newest[address]; other == nil || u.HeardAt.After(other.HeardAt) {
			newest[address] = u
		}
	}
	return slices.Collect(maps.Values(newest))
}

// duePoll reports whether a node is to be polled now, and notes that it is.
func (f *fleet) duePoll(now time.Time, n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.unwilling(now) != nil {
		return false
	}
	since := now.Sub(n.report.polledAt)
	if since < pollAgain || since < pollInterval && f.board.Load(now, n.key).Add(f.zones.Load(now, n.key)).Suspicions == 0 {
		return false
	}
	n.report.polledAt = now
	return true
}

// fallsTo reports whether an instance is one of those that poll a node: those with
// the highest hash of both names. All instances agree on it without asking each other, and
// only the share of one that goes moves to others.
func fallsTo(own string, n *node, instances []membership.Instance) bool {
	mine, higher := weightFor(own, n.key), 0
	for i := range instances {
		other := &instances[i]
		if other.Address == "" || other.Name == own || weightFor(other.Name, n.key) <= mine {
			continue
		}
		higher++
	}
	return higher < pollers
}

func weightFor(instance string, key loadshare.Key) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], xxhash.Sum64String(instance))
	binary.LittleEndian.PutUint64(both[8:], uint64(key))
	return xxhash.Sum64(both[:])
}

// poll polls one node and notes the answer. An idle connection may have gone silent,
// so that only a fresh one speaks against the node.
func (s *Server) poll(ctx context.Context, n *node) {
	report, err := s.pollOnce(ctx, n, false)
	if errors.Is(err, errUnreadableReport) {
		return // it was reached; what it wrote says nothing, good or bad
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, errElsewhere) {
		report, err = s.pollOnce(ctx, n, true)
	}
	if ctx.Err() != nil {
		return
	}
	f := s.fleet
	if err != nil {
		f.mu.Lock()
		n.report.heardAt, n.report.lostAt = time.Time{}, time.Now()
		works := time.Since(n.answered) < answerKept
		f.mu.Unlock()
		if !works {
			f.suspect(n, errors.Wrap(err, "poll"))
		}
		f.changed()
		return
	}
	if n.incarnation > upstream.Unstated && report.Incarnation > n.incarnation {
		f.misdirected(n)
		return
	}
	f.mu.Lock()
	n.report.heardAt = time.Now()
	n.report.pace = reportedPace(report.Pace)
	cleared := n.suspicion.clear()
	f.mu.Unlock()
	if cleared {
		eventCleared.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

func (s *Server) pollOnce(ctx context.Context, n *node, fresh bool) (*EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head := s.options.Dialect.ReportMessage(n.address, n.name)
	status, body, err := s.fleet.roundTrip(ctx, n, head, nil, fresh)
	if err != nil {
		return nil, err
	}
	if status == http.StatusMisdirectedRequest {
		s.fleet.misdirected(n)
		return nil, errElsewhere
	}
	if status != http.StatusOK {
		return nil, errors.Newf("status %d", status)
	}
	report, err := s.options.Dialect.DecodeReport(body)
	return report, errors.Mark(err, errUnreadableReport)
}

// errUnreadableReport says that an engine answered a poll with something that is no
// report.
var errUnreadableReport = errors.New("the report can't be read")

// reportedPace rounds a pace to what is reported, in tenths.
func reportedPace(pace float64) int {
	steps := math.Round((pace*normalPace - normalPace) / paceStep)
	return min(math.MaxUint8, normalPace+paceStep*int(max(0, steps)))
}
