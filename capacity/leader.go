package capacity

import "fmt"

// LeaderRows are what the leader spends besides what every voter does.
func (m *Model) LeaderRows() []Row {
	return []Row{m.leaderState(), m.leaderMessages(), m.leaderTraffic(), m.leaderChanges(), m.leaderCPU(), m.leaderSyncs()}
}

func (m *Model) leaderState() Row {
	heap := lineOf(m.control.Slopes.HeapPerUpstream)
	return Row{
		Role: Leader, Quantity: "state in memory (heap)", Value: heap.at(m.target.Upstreams), Unit: Bytes,
		Formula: fmt.Sprintf("%s + %s x %s upstreams; the mean of 8 nodes, its table of %s instances and their held calls not measured apart",
			Bytes.format(heap.base), Bytes.format(heap.slope), number(m.target.Upstreams), number(m.target.Instances)),
		Mechanism: "`membership.Table`, `control/relay`, `control/state`",
	}.against(m.target.LimitMemory).breaksAt(heap, "upstreams")
}

func (m *Model) leaderMessages() Row {
	calls := m.leaderCalls()
	return Row{
		Role: Leader, Quantity: "messages", Value: calls.at(m.target.Instances), Unit: CallsPerSecond, Carries: true,
		Formula:   fmt.Sprintf("%s + %s x %s instances", CallsPerSecond.format(calls.base), number(calls.slope), number(m.target.Instances)),
		Mechanism: "one held sync call of each instance (`control`)",
	}
}

func (m *Model) leaderTraffic() Row {
	l := m.leaderBytes(m.target.Upstreams)
	return Row{
		Role: Leader, Quantity: "bytes", Value: l.at(m.target.Instances), Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s + %s instances x (%s + %s x %s upstreams)", BytesPerSecond.format(l.base), number(m.target.Instances),
			BytesPerSecond.format(m.control.Slopes.LeaderBytesPerInstance.Slope), BytesPerSecond.format(m.relayedBytes()), number(m.target.Upstreams)),
		Mechanism: "`control` sync, `control/relay`; would hold it: relays at the set-aside instances of a region, between leader and instances",
	}.against(m.target.LimitBytes).breaksAt(l, "instances")
}

func (m *Model) leaderChanges() Row {
	l := line{0, m.changeBytes() * m.changesPerSecond()}
	return Row{
		Role: Leader, Quantity: "bytes of changes, mean", Value: l.at(m.target.Instances), Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s instances x %s x %s; one change is %s at once", number(m.target.Instances), Bytes.format(m.changeBytes()),
			PerSecond.format(m.changesPerSecond()), Bytes.format(m.target.Instances*m.changeBytes())),
		Mechanism: "`control` sync sends whole trees; would hold it: differences of trees, through the relays",
	}.against(m.target.LimitBytes).breaksAt(l, "instances")
}

// leaderCPU is the whole fleet's processor time at rest: an upper bound, since
// the nodes of a measured fleet share a process.
func (m *Model) leaderCPU() Row {
	l := lineOf(m.control.Slopes.CPUPerInstance)
	fleet := m.fleetCPU()
	row := Row{
		Role: Leader, Quantity: "CPU without upstreams, upper bound", Value: l.at(m.target.Instances), Unit: Cores,
		Formula: fmt.Sprintf("%s + %s x %s instances, the instances' own part included", Cores.format(l.base),
			Cores.format(l.slope), number(m.target.Instances)),
		Mechanism: "`control`, one goroutine; would hold it: the relays",
	}.against(m.target.LimitCPU).breaksAt(l, "instances")
	row.Trial = fmt.Sprintf("with %s upstreams, by the trials, each further instance costs the whole fleet %s, %s for all; the leader's part of it is not known",
		number(m.target.Upstreams), Cores.format(fleet.slope), Cores.format(fleet.at(m.target.Instances)))
	return row
}

func (m *Model) leaderSyncs() Row {
	return Row{
		Role: Leader, Quantity: "syncs of the log", Value: m.changesPerSecond(), Unit: SyncsPerSecond, Carries: true,
		Formula: fmt.Sprintf("one for each change; measured %s commits/s one after the other, p99 %s ms", number(m.control.Changes.CommitPerHour/3600),
			number(m.control.Changes.CommitMs.P99)),
		Mechanism: "`consensus`, `wal`",
	}
}
