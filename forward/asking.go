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
	// askEvery is how often an engine is asked. A call more a second for each engine
	// costs little, and a dark engine is known before many calls went there.
	askEvery = time.Second
	// askAgain is the least time between two questions when an instance has failed to
	// reach an engine meanwhile.
	askAgain = 300 * time.Millisecond
	// askTimeout bounds one question; the answer takes some milliseconds.
	askTimeout = 300 * time.Millisecond
	// askTick is how often it is looked whether a question is due.
	askTick = 100 * time.Millisecond
	// askers is how many instances ask an engine, so that the loss of one, or of its
	// path to the engine, does not hide the engine from all.
	askers = 2
	// reportKept is how long a report counts: two questions and a timeout.
	reportKept = 2*askEvery + askTimeout
	// normalPace and the steps above it are what is told of an engine's pace; smaller
	// differences are not worth a datagram.
	normalPace = 10
	paceStep   = 5
)

// askEngines asks those engines how they are that fall to this instance, until ctx
// ends. The answers go to all other instances with the loads.
func (s *Server) askEngines(ctx context.Context) {
	ticker := time.NewTicker(askTick)
	defer ticker.Stop()
	var asked []*node
	var chosenAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(chosenAt) >= askEvery {
				asked, chosenAt = s.nodesToAsk(), now
			}
			for _, n := range asked {
				if s.fleet.dueQuestion(now, n) {
					go s.ask(ctx, n)
				}
			}
		}
	}
}

// nodesToAsk lists the engines that fall to this instance.
func (s *Server) nodesToAsk() []*node {
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

// dueQuestion reports whether a node is to be asked now, and notes that it is.
func (f *fleet) dueQuestion(now time.Time, n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := now.Sub(n.report.askedAt)
	if since < askAgain || since < askEvery && f.board.Load(now, n.key).Doubts == 0 {
		return false
	}
	n.report.askedAt = now
	return true
}

// fallsTo reports whether an instance is one of those that ask a node: those with
// the highest hash of both names. All instances agree on it without a word, and
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
	return higher < askers
}

func weightFor(instance string, key loadshare.Key) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], xxhash.Sum64String(instance))
	binary.LittleEndian.PutUint64(both[8:], uint64(key))
	return xxhash.Sum64(both[:])
}

// ask asks one node and notes the answer. An idle connection may have gone silent,
// so that only a fresh one speaks against the node.
func (s *Server) ask(ctx context.Context, n *node) {
	report, err := s.question(ctx, n, false)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errElsewhere) {
		report, err = s.question(ctx, n, true)
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
			f.suspect(n, errors.Wrap(err, "ask how it is"))
		}
		f.changed()
		return
	}
	f.mu.Lock()
	n.report.heardAt = time.Now()
	n.report.pace = toldPace(report.Pace)
	cleared := n.doubt.clear()
	f.mu.Unlock()
	if cleared {
		eventCleared.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

func (s *Server) question(ctx context.Context, n *node, fresh bool) (*EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	return s.options.Dialect.DecodeReport(body)
}

// toldPace rounds a pace to what is told, in tenths.
func toldPace(pace float64) int {
	steps := math.Round((pace*normalPace - normalPace) / paceStep)
	return min(math.MaxUint8, normalPace+paceStep*int(max(0, steps)))
}
