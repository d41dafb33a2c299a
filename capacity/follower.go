package capacity

import (
	"fmt"

	"celeryport/claim"
)

const summed = "books in sums: copies of differences with a strict sequence, merged at regional relays, so that a voter keeps one sum for each series"

// FollowerRows are what a voter spends that doesn't lead; it is an entry instance
// besides.
func (m *Model) FollowerRows() []Row {
	return []Row{
		m.followerBook(), m.followerDead(), m.followerClaims(), m.followerProcess(), m.followerMessages(),
		m.followerTraffic(), m.followerCPU(), m.followerSyncs(), m.followerDisk(),
	}
}

func (m *Model) followerBook() Row {
	book := m.bookBytes()
	return Row{
		Role: Follower, Quantity: "memory of the books, live instances", Value: book.at(m.target.Instances), Unit: Bytes,
		Formula:   fmt.Sprintf("%s + %s x %s instances, at 1300 series each, the worst case", Bytes.format(book.base), Bytes.format(book.slope), number(m.target.Instances)),
		Mechanism: "`ledger.Book`, each incarnation apart; would hold it: " + summed,
	}.against(m.target.LimitMemory).breaksAt(book, "instances")
}

// followerDead counts the incarnations that ended: their counters stay, with
// latencies for a week, so that every restart adds to the book.
func (m *Model) followerDead() Row {
	perDay := m.target.ReplacedPerDay + m.target.FailedPerDay
	each := m.bookBytes().slope
	return Row{
		Role: Follower, Quantity: "memory of the books, ended incarnations", Value: perDay * latenciesKeptDays * each, Unit: Bytes,
		Formula: fmt.Sprintf("%s ends/day x %d days x %s, as above; counts alone stay for 92 days, not measured and on top",
			number(perDay), latenciesKeptDays, Bytes.format(each)),
		Mechanism: "`ledger.State.Trim`; would hold it: sums, into which an ended incarnation is folded once its last copy is known",
	}.against(m.target.LimitMemory).breaksAt(line{0, latenciesKeptDays * each}, "ended incarnations a day")
}

func (m *Model) followerClaims() Row {
	value := float64(claim.DefaultMaxVotes*claimVoteBytes + claim.DefaultMaxAnswerBytes)
	row := Row{
		Role: Follower, Quantity: "memory of claims", Value: value, Unit: Bytes,
		Formula:   fmt.Sprintf("%d votes x %d B + %s of answers, a bound", claim.DefaultMaxVotes, claimVoteBytes, Bytes.format(claim.DefaultMaxAnswerBytes)),
		Mechanism: "`claim.Voter`; the bound holds by abstaining, see Claims below",
	}.against(m.target.LimitMemory)
	row.Breaks = "bounded by settings, not by the size"
	return row
}

// followerProcess is all of it together: what an entry instance has, both parts of
// the books, and claims.
func (m *Model) followerProcess() Row {
	live, dead, claims := m.bookBytes(), m.followerDead().Value, m.followerClaims().Value
	heap := live.plus(lineOf(m.control.Slopes.HeapPerUpstream).at(m.target.Upstreams) + live.slope + dead + claims)
	l := m.process(heap)
	return Row{
		Role: Follower, Quantity: "memory of the process, without requests", Value: l.at(m.target.Instances), Unit: Bytes,
		Formula: fmt.Sprintf("%s resident at rest (trial) + %s x %s of heap: books, claims at their bound, an entry's state",
			Bytes.format(m.traffic.Process.Resident), number(collected), Bytes.format(heap.at(m.target.Instances))),
		Mechanism: "all of the above; would hold it: books in sums, claims by groups of voters",
	}.against(m.target.LimitMemory).breaksAt(l, "instances")
}

func (m *Model) followerMessages() Row {
	return Row{
		Role: Follower, Quantity: "messages", Value: m.target.Instances/copyInterval + m.syncCalls(), Unit: CallsPerSecond, Carries: true,
		Formula:   fmt.Sprintf("%s instances / %s s + its own %s; heartbeats of the leader and claims on top", number(m.target.Instances), number(copyInterval), number(m.syncCalls())),
		Mechanism: "`accounting`, `control`",
	}
}

func (m *Model) followerTraffic() Row {
	own, copies := m.followerBytes(), m.ledgerBytesEach()
	l := line{own.at(m.target.Upstreams), copies}
	return Row{
		Role: Follower, Quantity: "bytes", Value: l.at(m.target.Instances), Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s + %s x %s upstreams + %s x %s instances", BytesPerSecond.format(own.base), BytesPerSecond.format(own.slope),
			number(m.target.Upstreams), BytesPerSecond.format(copies), number(m.target.Instances)),
		Mechanism: "`control`, `accounting`; would hold it: voters set aside for control, books in sums",
	}.against(m.target.LimitBytes).breaksAt(l, "instances")
}

// followerCPU takes the books alone.
func (m *Model) followerCPU() Row {
	cpu, _ := m.mergeCost()
	each := cpu / copyInterval
	return Row{
		Role: Follower, Quantity: "CPU of the books", Value: each * m.target.Instances, Unit: Cores,
		Formula: fmt.Sprintf("%s instances / %s s x %s ms for a copy of %s requests (trial); applying alone was measured as %s",
			number(m.target.Instances), number(copyInterval), number(1e3*cpu), number(m.requestsPerCopy()),
			Cores.format(median(m.traffic.Apply)/1e9*m.target.RequestsPerSecond)),
		Mechanism: "`ledger.Book.Merge`; would hold it: books in sums, each relay merging its region",
	}.against(m.target.LimitCPU).breaksAt(line{0, each}, "instances")
}

func (m *Model) followerSyncs() Row {
	copies := m.target.Instances / copyInterval
	_, elapsed := m.mergeCost()
	return Row{
		Role: Follower, Quantity: "syncs", Value: copies + m.changesPerSecond(), Unit: SyncsPerSecond, Carries: true,
		Formula: fmt.Sprintf("%s instances / %s s + %s changes; claims on top; one after the other the copies take %s of the time (%s ms each, trial)",
			number(m.target.Instances), number(copyInterval), PerSecond.format(m.changesPerSecond()), percent(copies*elapsed), number(1e3*elapsed)),
		Mechanism: "`ledger.Book`, `wal`; a slower disk leaves less",
	}
}

func (m *Model) followerDisk() Row {
	books := m.target.Instances * m.ledgerBytesEach() * secondsPerDay
	trees := m.target.ChangesPerDay * m.target.TreeBytes
	return Row{
		Role: Follower, Quantity: "disk written", Value: books + trees, Unit: BytesPerDay, Carries: true,
		Formula:   fmt.Sprintf("copies as received: %s, all day at the peak; trees: %s; before compaction", BytesPerDay.format(books), BytesPerDay.format(trees)),
		Mechanism: "`ledger.Book`, `wal` segments, cut by snapshots",
	}
}
