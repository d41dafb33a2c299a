package capacity

import (
	"time"

	"celeryport/accounting"
	"celeryport/slopes"
)

const (
	secondsPerDay     = 86_400
	secondsPerHour    = 3600
	copyInterval      = float64(accounting.DefaultInterval) / float64(time.Second)
	collected         = 2.0 // Go's collector lets a heap grow to twice what lives, by default
	claimVoteBytes    = 290 // docs/CONTROL.md, "Memory"
	latenciesKeptDays = 7   // of a dead incarnation, docs/REPORTS.md
)

// Model answers what a role costs at the target.
type Model struct {
	target  Target
	control *slopes.Result
	traffic *Traffic
}

// NewModel returns a model of the target on the measurements.
func NewModel(t Target, s *Sources) *Model {
	return &Model{target: t, control: &s.Control, traffic: &s.Traffic}
}

// requestsEach is the load of one instance, in requests a second.
func (m *Model) requestsEach() float64 { return m.target.RequestsPerSecond / m.target.Instances }

// changesPerSecond is the mean over a day.
func (m *Model) changesPerSecond() float64 { return m.target.ChangesPerDay / secondsPerDay }

// changeBytes is what one change costs an instance; the whole tree is sent, so
// it grows with the tree.
func (m *Model) changeBytes() float64 {
	c := &m.control.Changes
	return c.BytesEach / float64(c.TextBytes) * m.target.TreeBytes
}

// copyBytes is the size of one ledger copy by its requests, through the two
// smallest measured sizes, between which the target lies.
func (m *Model) copyBytes() line {
	return through(m.copySize(0).Requests, median(m.copySize(0).Bytes), m.copySize(1).Requests, median(m.copySize(1).Bytes))
}

// copySeconds is the time to make one ledger copy, by its requests.
func (m *Model) copySeconds() line {
	l := through(m.copySize(0).Requests, median(m.copySize(0).Nanoseconds), m.copySize(1).Requests, median(m.copySize(1).Nanoseconds))
	return line{l.base / 1e9, l.slope / 1e9}
}

func (m *Model) copySize(i int) *CopyCost { return &m.traffic.Copies[i] }

// requestsPerCopy is how many requests a copy covers at the peak.
func (m *Model) requestsPerCopy() float64 { return m.requestsEach() * copyInterval }

// ledgerBytesEach is what an instance sends to one voter, bytes a second.
func (m *Model) ledgerBytesEach() float64 {
	return m.copyBytes().at(m.requestsPerCopy()) / copyInterval
}

// bookBytes is a voter's memory for the ledger by instances.
func (m *Model) bookBytes() line {
	first, last := &m.traffic.States[0], &m.traffic.States[len(m.traffic.States)-1]
	return through(first.Instances, median(first.Bytes), last.Instances, median(last.Bytes))
}

// leaderBytes is what goes through the leader, by instances, with as many
// upstreams: both measured slopes, the second of them for each instance.
func (m *Model) leaderBytes(upstreams float64) line {
	s := &m.control.Slopes
	perInstance := s.LeaderBytesPerInstance.Slope + upstreams*m.relayedBytes()
	return line{s.LeaderBytesPerInstance.Base, perInstance}
}

// relayedBytes is what one upstream costs the leader for one instance.
func (m *Model) relayedBytes() float64 {
	return m.control.Slopes.LeaderBytesPerUpstream.Slope / float64(m.control.Upstreams[0].Instances)
}

// followerBytes is what a following voter exchanges by upstreams, without ledger.
func (m *Model) followerBytes() line {
	return fitFleets(m.control.Upstreams,
		func(i *slopes.Idle) float64 { return float64(i.Upstreams) },
		func(i *slopes.Idle) float64 { return i.FollowerBytes })
}

// leaderCalls is the calls a second that involve the leader, by instances.
func (m *Model) leaderCalls() line {
	return fitFleets(m.control.Instances,
		func(i *slopes.Idle) float64 { return float64(i.Instances) },
		func(i *slopes.Idle) float64 { return i.LeaderCalls })
}

// syncCalls is the calls a second of one instance at rest, at the largest fleet.
func (m *Model) syncCalls() float64 {
	return m.control.Instances[len(m.control.Instances)-1].InstanceCalls
}

// requestSeconds is the elapsed time of one request by its prompt tokens, through
// the smallest and the largest measured prompt.
func (m *Model) requestSeconds() line {
	first, last := &m.traffic.Requests[0], &m.traffic.Requests[len(m.traffic.Requests)-1]
	l := through(first.PromptTokens, median(first.Nanoseconds), last.PromptTokens, median(last.Nanoseconds))
	return line{l.base / 1e9, l.slope / 1e9}
}

// process is the memory of a process whose live heap follows the line.
func (m *Model) process(heap line) line {
	return line{m.traffic.Process.Resident + collected*heap.base, collected * heap.slope}
}

// mergeCost is the processor and the elapsed time, in seconds, that a voter spends
// on one copy of the target's size, through the two smallest measured sizes.
func (m *Model) mergeCost() (cpu, elapsed float64) {
	first, next := &m.traffic.Merges.Copies[0], &m.traffic.Merges.Copies[1]
	requests := m.requestsPerCopy()
	cpu = through(first.Requests, median(first.CPU), next.Requests, median(next.CPU)).at(requests) / 1e9
	elapsed = through(first.Requests, median(first.Elapsed), next.Requests, median(next.Elapsed)).at(requests) / 1e9
	return cpu, elapsed
}
