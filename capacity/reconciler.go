package capacity

import (
	"fmt"
	"math"

	"celeryport/order"
)

// roundsPerSecond is by the timer of order.Driver, 250 ms.
const roundsPerSecond = 4

// ReconcilerRows are what the issuer of engine orders spends, on the leader, while
// every wish is met.
func (m *Model) ReconcilerRows() []Row {
	return []Row{m.reconcilerMemory(), m.reconcilerMessages(), m.reconcilerBytes(), m.reconcilerCPU(), m.reconcilerSyncs()}
}

// reads is the engines read back in a second.
func (m *Model) reads() float64 { return m.target.Upstreams / m.reread() }

func (m *Model) reread() float64 { return order.DefaultTiming().Reread.Seconds() }

// round is the time of one round by engines, in seconds, through the smallest and
// the middle measured fleet.
func (m *Model) round() line {
	first, next := &m.traffic.Reconciler.Fleets[0], &m.traffic.Reconciler.Fleets[1]
	l := through(first.Engines, median(first.Nanoseconds), next.Engines, median(next.Nanoseconds))
	return line{l.base / 1e9, l.slope / 1e9}
}

func (m *Model) reconcilerMemory() Row {
	first, next := &m.traffic.Reconciler.Fleets[0], &m.traffic.Reconciler.Fleets[1]
	memory := through(first.Engines, median(first.Memory), next.Engines, median(next.Memory))
	return Row{
		Role: Reconciler, Quantity: "state in memory (heap)", Value: memory.at(m.target.Upstreams), Unit: Bytes,
		Formula:   fmt.Sprintf("%s x %s engines (trial)", Bytes.format(memory.slope), number(m.target.Upstreams)),
		Mechanism: "`order.Reconciler`",
	}.against(m.target.LimitMemory).breaksAt(memory, "engines")
}

func (m *Model) reconcilerMessages() Row {
	return Row{
		Role: Reconciler, Quantity: "messages", Value: m.reads(), Unit: CallsPerSecond, Carries: true,
		Formula:   fmt.Sprintf("%s engines / %s s, by the code; orders on top", number(m.target.Upstreams), number(m.reread())),
		Mechanism: "`order.Driver`, one read of each engine every 30 s",
	}
}

func (m *Model) reconcilerBytes() Row {
	each := m.traffic.Reconciler.StateBytes
	return Row{
		Role: Reconciler, Quantity: "bytes, HTTP headers not counted", Value: each * m.reads(), Unit: BytesPerSecond,
		Formula:   fmt.Sprintf("%s of state x %s; an engine with a long list of orders says more", Bytes.format(each), CallsPerSecond.format(m.reads())),
		Mechanism: "`order.Driver`",
	}.against(m.target.LimitBytes).breaksAt(line{0, each / m.reread()}, "engines")
}

// reconcilerCPU grows with the square of the engines: each answer starts a round,
// and each round looks at every engine.
func (m *Model) reconcilerCPU() Row {
	round := m.round().at(m.target.Upstreams)
	row := Row{
		Role: Reconciler, Quantity: "CPU, calls not counted", Value: (roundsPerSecond + m.reads()) * round, Unit: Cores,
		Formula: fmt.Sprintf("(%d + %s answers) rounds/s x %s ms at %s engines (trial)", roundsPerSecond, number(m.reads()),
			number(1e3*round), number(m.target.Upstreams)),
		Mechanism: fmt.Sprintf("`order.Driver` makes a round after each answer; would hold it: rounds by the timer alone, %s",
			Cores.format(roundsPerSecond*round)),
	}.against(m.target.LimitCPU)
	row.Breaks = fmt.Sprintf("over from %s engines on", number(m.reconcilerReaches()+1))
	return row
}

// reconcilerReaches solves (rounds + u/reread) * (base + slope*u) = limit for u.
func (m *Model) reconcilerReaches() float64 {
	l, reread := m.round(), m.reread()
	a := l.slope / reread
	b := l.base/reread + roundsPerSecond*l.slope
	c := roundsPerSecond*l.base - m.target.LimitCPU
	return math.Floor((-b + math.Sqrt(b*b-4*a*c)) / (2 * a))
}

func (m *Model) reconcilerSyncs() Row {
	return Row{
		Role: Reconciler, Quantity: "syncs", Value: 0, Unit: SyncsPerSecond, Carries: true,
		Formula: "one log entry for each new issuer, so for each change of leader", Mechanism: "`control/state`, fencing number",
	}
}
