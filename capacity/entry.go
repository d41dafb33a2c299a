package capacity

import "fmt"

const (
	subsets = "engine subsets: an instance hears of and uses the engines that rendezvous hashing gives its region"
	account = "the account of an instance is taken to be as large as its part of a voter's book"
)

// EntryRows are what an entry instance that doesn't vote spends on control.
func (m *Model) EntryRows() []Row {
	return []Row{m.entryMemory(), m.entryProcess(), m.entryMessages(), m.entryBytes(), m.entryCPU(), m.entrySyncs(), m.entryDisk()}
}

func (m *Model) entryMemory() Row {
	heap, book := lineOf(m.control.Slopes.HeapPerUpstream), m.bookBytes().slope
	value := heap.at(m.target.Upstreams) + book
	return Row{
		Role: Entry, Quantity: "state in memory (heap)", Value: value, Unit: Bytes,
		Formula: fmt.Sprintf("%s + %s x %s upstreams + %s account", Bytes.format(heap.base), Bytes.format(heap.slope),
			number(m.target.Upstreams), Bytes.format(book)),
		Mechanism: "`upstream` registry, `control.View`, `ledger.Account`; " + account,
	}.against(m.target.LimitMemory).breaksAt(heap.plus(book), "upstreams")
}

// entryProcess adds what a process holds at rest, and what the collector lets a
// heap grow to.
func (m *Model) entryProcess() Row {
	heap := lineOf(m.control.Slopes.HeapPerUpstream).plus(m.bookBytes().slope)
	l := m.process(heap)
	return Row{
		Role: Entry, Quantity: "memory of the process, without requests", Value: l.at(m.target.Upstreams), Unit: Bytes,
		Formula: fmt.Sprintf("%s resident at rest (trial) + %s x %s of heap", Bytes.format(m.traffic.Process.Resident), number(collected),
			Bytes.format(heap.at(m.target.Upstreams))),
		Mechanism: "all of the above, the program and its runtime",
	}.against(m.target.LimitMemory).breaksAt(l, "upstreams")
}

func (m *Model) entryMessages() Row {
	copies := m.target.Voters / copyInterval
	return Row{
		Role: Entry, Quantity: "messages", Value: m.syncCalls() + copies, Unit: CallsPerSecond, Carries: true,
		Formula:   fmt.Sprintf("%s syncs + %s voters / %s s", number(m.syncCalls()), number(m.target.Voters), number(copyInterval)),
		Mechanism: "one long sync call (`control`), one copy to each voter (`accounting`); the announcements of upstreams not counted",
	}
}

// entryBytes is the tightest: columns of every upstream, copies to every voter
// and the whole tree with each change.
func (m *Model) entryBytes() Row {
	sync := lineOf(m.control.Slopes.InstanceBytesPerUpstream)
	copies := m.target.Voters * m.ledgerBytesEach()
	changes := m.changeBytes() * m.changesPerSecond()
	row := Row{
		Role: Entry, Quantity: "bytes", Value: sync.at(m.target.Upstreams) + copies + changes, Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s + %s x %s upstreams + %s voters x %s copies + %s x %s changes",
			BytesPerSecond.format(sync.base), BytesPerSecond.format(sync.slope), number(m.target.Upstreams),
			number(m.target.Voters), BytesPerSecond.format(m.ledgerBytesEach()), Bytes.format(m.changeBytes()), PerSecond.format(m.changesPerSecond())),
		Mechanism: "`control/relay` columns, `ledger` copies, whole trees; would hold it: " + subsets +
			", copies to the two relays of the region instead of every voter, differences of trees",
	}.against(m.target.LimitBytes).breaksAt(sync.plus(copies+changes), "upstreams")
	return m.withTrial(row, m.largestTrial().InstanceBytes, copies+changes)
}

func (m *Model) entryCPU() Row {
	idle := lineOf(m.control.Slopes.CPUPerUpstream)
	copies := m.target.Voters / copyInterval * m.copySeconds().at(m.requestsPerCopy())
	changes := m.control.Changes.CPUEach * m.changesPerSecond()
	row := Row{
		Role: Entry, Quantity: "CPU", Value: idle.at(m.target.Upstreams) + copies + changes, Unit: Cores,
		Formula: fmt.Sprintf("%s + %s x %s upstreams + %s for copies + %s for changes", Cores.format(idle.base), Cores.format(idle.slope),
			number(m.target.Upstreams), Cores.format(copies), Cores.format(changes)),
		Mechanism: "`control`, `control/relay`, `ledger`; the measured mean holds an eighth of the leader's work and the announcing stand-ins; would hold it: " + subsets,
	}.against(m.target.LimitCPU).breaksAt(idle.plus(copies+changes), "upstreams")
	return m.withTrial(row, m.largestTrial().CPUPerInstance, copies+changes)
}

func (m *Model) entrySyncs() Row {
	return Row{
		Role: Entry, Quantity: "syncs", Value: m.changesPerSecond(), Unit: SyncsPerSecond, Carries: true,
		Formula:   "one for each change, on an instance with a data folder; otherwise none",
		Mechanism: "`control`, the installed tree",
	}
}

func (m *Model) entryDisk() Row {
	return Row{
		Role: Entry, Quantity: "disk", Value: m.target.TreeBytes, Unit: Bytes, Carries: true,
		Formula:   "one tree",
		Mechanism: "`control`, the installed tree, replaced with each change",
	}
}
