package capacity

import "fmt"

// SetAsideRows are the chosen design, which isn't built: instances that take no
// callers, of which five vote and all relay the instances of their region. Their
// load is drawn from today's slopes with one region's instances and engines, when
// one of the region's relays is lost and another has all of it.
func (m *Model) SetAsideRows() []Row {
	rows := []Row{m.setAsideCount(), m.setAsideBytes(), m.setAsideLeader(), m.setAsideBook(), m.setAsideMerges(), m.setAsideEntry()}
	for i := range rows {
		rows[i].Planned, rows[i].Carries = true, false
	}
	return rows
}

const (
	relaysOfRegion = 2
	relays         = "not built: no instance relays for others"
)

// regionInstances is a third of the fleet.
func (m *Model) regionInstances() float64 { return m.target.Instances / m.target.Regions }

func (m *Model) regionUpstreams() float64 { return m.target.Upstreams / m.target.Regions }

func (m *Model) setAsideCount() Row {
	return Row{
		Role: SetAside, Quantity: "instances", Value: 7, Unit: Instances,
		Formula: "2 + 2 + 3 in three regions; 2 + 2 + 1 of them vote", Mechanism: "not built: no setting takes an instance out of `GET /v1/addresses`",
	}.against(m.target.LimitSetAside)
}

func (m *Model) setAsideBytes() Row {
	l := m.leaderBytes(m.regionUpstreams())
	copies := m.regionInstances() * m.ledgerBytesEach()
	return Row{
		Role: SetAside, Quantity: "bytes of a relay, the other one lost", Value: l.at(m.regionInstances()) + copies, Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s + %s instances x (%s + %s copies)", BytesPerSecond.format(l.base), number(m.regionInstances()),
			BytesPerSecond.format(l.slope), BytesPerSecond.format(m.ledgerBytesEach())),
		Mechanism: relays,
	}
}

func (m *Model) setAsideLeader() Row {
	l := m.leaderBytes(m.target.Upstreams)
	return Row{
		Role: SetAside, Quantity: "bytes of the leader to relays", Value: l.at(m.target.LimitSetAside), Unit: BytesPerSecond,
		Formula:   fmt.Sprintf("%s + %s relays x %s; leases of their instances on top", BytesPerSecond.format(l.base), number(m.target.LimitSetAside), BytesPerSecond.format(l.slope)),
		Mechanism: relays,
	}
}

func (m *Model) setAsideBook() Row {
	book := m.bookBytes()
	return Row{
		Role: SetAside, Quantity: "memory of the books in sums", Value: book.base + book.slope, Unit: Bytes,
		Formula:   fmt.Sprintf("%s for windows + one set of series of %s; positions of live incarnations on top", Bytes.format(book.base), Bytes.format(book.slope)),
		Mechanism: "not built: books in sums",
	}
}

func (m *Model) setAsideMerges() Row {
	cpu, _ := m.mergeCost()
	return Row{
		Role: SetAside, Quantity: "CPU of the books of a region", Value: cpu / copyInterval * m.regionInstances(), Unit: Cores,
		Formula:   fmt.Sprintf("%s instances / %s s x %s ms (trial)", number(m.regionInstances()), number(copyInterval), number(1e3*cpu)),
		Mechanism: relays,
	}
}

// setAsideEntry is what the chosen design leaves to an entry instance.
func (m *Model) setAsideEntry() Row {
	sync := lineOf(m.control.Slopes.InstanceBytesPerUpstream)
	return Row{
		Role: Entry, Quantity: "bytes of an entry instance in the chosen design", Value: sync.at(m.regionUpstreams()) + relaysOfRegion*m.ledgerBytesEach(), Unit: BytesPerSecond,
		Formula: fmt.Sprintf("%s + %s x %s upstreams of its region + %d relays x %s copies; differences of trees not measured", BytesPerSecond.format(sync.base),
			BytesPerSecond.format(sync.slope), number(m.regionUpstreams()), relaysOfRegion, BytesPerSecond.format(m.ledgerBytesEach())),
		Mechanism: relays,
	}.against(m.target.LimitBytes)
}
