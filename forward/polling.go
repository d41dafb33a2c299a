package forward

import (
	"context"
	"encoding/binary"
	"iter"
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
	"celeryport/polling"
	"celeryport/upstream"
)

const (
	// pollInterval is how often an instance polls an engine: this adds about one call per second
	// to each engine per polling instance, and an unresponsive engine is detected before many
	// calls are sent there. With a tick it is below a second, the shortest idle time that an
	// engine states for its connections.
	pollInterval = 900 * time.Millisecond
	// minPollInterval is the shortest time between two polls after another instance has failed
	// to reach the engine.
	minPollInterval = 300 * time.Millisecond
	// pollTimeout bounds one poll; an answer takes some milliseconds.
	pollTimeout = 300 * time.Millisecond
	// pollTick is how often it is checked whether a poll is due.
	pollTick = 100 * time.Millisecond
	// pollersPerEngine is how many instances poll an engine, so that the loss of one of them, or
	// of its path to the engine, does not hide the engine from all instances.
	pollersPerEngine = 2
	// reportRetention is how long a report counts: two polls and a timeout.
	reportRetention = 2*pollInterval + pollTimeout
	// normalPace and paceStep quantise the reported pace of an engine; smaller differences are
	// not worth a datagram.
	normalPace = 10
	paceStep   = 5
)

// pollEngines polls the engines assigned to this instance until ctx ends. Their reports are sent
// to all other instances with the loads.
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
			// The first poll must not wait for an interval because the list of instances was
			// missing at the start: it shows the residual load.
			if now.Sub(chosenAt) >= pollInterval || len(polled) == 0 && s.recovering(now) {
				polled, chosenAt = s.nodesToPoll(), now
				s.fleet.observeEndings(now, s.options.Plane.View())
			}
			s.fleet.paths.ProbeLost()
			s.fleet.transits.Sweep(now)
			for _, n := range polled {
				if s.fleet.duePoll(now, n) {
					go s.poll(ctx, n)
				}
			}
		}
	}
}

// nodesToPoll lists the engines that this instance has to poll.
func (s *Server) nodesToPoll() []*node {
	view := s.options.Plane.View()
	if view == nil || view.Tree == nil || view.Tree.Forwarding == nil || view.Upstreams == nil {
		return nil
	}
	if !listed(s.options.Process.Name, view.Instances) {
		return nil // this instance has just started and does not know which upstreams others poll
	}
	assigned := polling.Assign(s.options.Process.Name, forwardingNames(view.Instances), pollersPerEngine)
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*node
	for _, service := range view.Tree.Forwarding.Engines() {
		for _, u := range newestAt(view.Upstreams, service) {
			n := f.node(u)
			if !n.replaced && !n.failedSince(u.AnnouncedAt) && assigned.Includes(n.key) {
				found = append(found, n)
			}
		}
	}
	return found
}

// failedSince reports whether a node failed to answer after its last announcement. A process that
// answers at its address from then on may be another one, which will be known by its own
// announcement.
func (n *node) failedSince(announced time.Time) bool { return n.report.failedAt.After(announced) }

// newestAt returns the upstreams of a service, for each address only the one announced last:
// otherwise the successor would answer polls for a dead upstream, and calls would still be sent
// to the dead one.
func newestAt(snapshot *upstream.Snapshot, service string) []*upstream.Upstream {
	newest := map[string]*upstream.Upstream{}
	for _, at := range snapshot.Serving(service) {
		u := &snapshot.Upstreams[at]
		address := u.Announcement.Address
		if other := newest[address]; other == nil || u.AnnouncedAt.After(other.AnnouncedAt) {
			newest[address] = u
		}
	}
	return slices.Collect(maps.Values(newest))
}

// duePoll reports whether a node is due to be polled, and if so records the time of the poll.
func (f *fleet) duePoll(now time.Time, n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.unavailable(now) != nil || f.paths.Lost(n.service) {
		return false
	}
	since := now.Sub(n.report.polledAt)
	if since < minPollInterval || since < pollInterval && f.board.Load(now, n.key).Add(f.zones.Load(now, n.key)).Suspicions == 0 {
		return false
	}
	n.report.polledAt = now
	return true
}

func listed(name string, instances []membership.Instance) bool {
	return slices.ContainsFunc(instances, func(i membership.Instance) bool { return i.Name == name })
}

// forwardingNames returns the names of the instances that accept calls.
func forwardingNames(instances []membership.Instance) iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := range instances {
			one := &instances[i]
			if one.Address != "" && one.State != membership.Gone && !yield(one.Name) {
				return
			}
		}
	}
}

func rendezvousWeight(instance string, key loadshare.Key) uint64 {
	var names [16]byte
	binary.LittleEndian.PutUint64(names[:], xxhash.Sum64String(instance))
	binary.LittleEndian.PutUint64(names[8:], uint64(key))
	return xxhash.Sum64(names[:])
}

// poll polls one node and records the result. Because an idle connection may be dead, only a
// failure on a new connection counts against the node.
func (s *Server) poll(ctx context.Context, n *node) {
	began := time.Now()
	report, err := s.pollOnce(ctx, n, reuseForPolls)
	if errors.Is(err, errUnreadableReport) {
		return // the node was reached, but its report is neither evidence for nor against it
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, errWrongIncarnation) {
		report, err = s.pollOnce(ctx, n, reuseNever)
	}
	if ctx.Err() != nil {
		return
	}
	f := s.fleet
	if endedByPeer(err) {
		f.paths.Broken(n.path(), began)
	}
	if err != nil {
		f.mu.Lock()
		n.report.answeredAt, n.report.failedAt = time.Time{}, time.Now()
		answering := time.Since(n.answered) < answerRetention
		f.mu.Unlock()
		if !answering {
			f.suspect(n, errors.Wrap(err, "poll"))
		}
		f.notifyChanged()
		return
	}
	s.recordReport(n, report)
}

// recordReport records the answer of a node that was polled.
func (s *Server) recordReport(n *node, report *EngineReport) {
	f := s.fleet
	if n.incarnation > upstream.UnknownIncarnation && report.Incarnation > n.incarnation {
		f.recordReplaced(n)
		return
	}
	f.mu.Lock()
	n.report.answeredAt = time.Now()
	n.reachability.Reached()
	n.report.pace = reportedPace(report.Pace)
	residual := s.recordResidual(n.report.answeredAt, n, report.State)
	cleared := n.suspicion.clear()
	suspected := f.board.Load(n.report.answeredAt, n.key).Add(f.zones.Load(n.report.answeredAt, n.key)).Suspicions > 0
	f.mu.Unlock()
	if suspected || residual {
		f.notifyChanged()
	}
	if cleared {
		eventCleared.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

func (s *Server) pollOnce(ctx context.Context, n *node, share reuse) (*EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	watched := func(bool) {}
	if share > reuseNever {
		watched = s.fleet.paths.WatchAnswer(ctx, n.path())
	}
	head := s.options.Dialect.ReportMessage(n.address, n.name)
	status, body, err := s.fleet.roundTrip(ctx, n, head, nil, share)
	watched(err == nil)
	if err == nil {
		s.fleet.paths.RecordAnswer(n.service)
	}
	if err != nil {
		return nil, err
	}
	if status == http.StatusMisdirectedRequest {
		s.fleet.recordReplaced(n)
		return nil, errWrongIncarnation
	}
	if status != http.StatusOK {
		return nil, errors.Newf("status %d", status)
	}
	report, err := s.options.Dialect.DecodeReport(body)
	return report, errors.Mark(err, errUnreadableReport)
}

// errUnreadableReport means that an engine answered a poll with an invalid report.
var errUnreadableReport = errors.New("invalid engine report")

// reportedPace rounds a pace to the reported steps, in tenths.
func reportedPace(pace float64) int {
	steps := math.Round((pace*normalPace - normalPace) / paceStep)
	return min(math.MaxUint8, normalPace+paceStep*int(max(0, steps)))
}
