package control

import (
	"time"

	"celeryport/consensus"
	"celeryport/control/state"
	"celeryport/departure"
	"celeryport/upstream"
)

// storedDeparture is a departure in an entry of the log that may not be committed. The upstream has asked to leave in
// any case, so it is not used while the voter does not know what is committed.
type storedDeparture struct {
	departure.Departure
	index uint64
}

// storedDepartures returns the departures in entries of a log. Entries that can't be decoded are left to the state
// machine, which rejects them when they are committed.
func storedDepartures(entries []consensus.Entry) []storedDeparture {
	var stored []storedDeparture
	for i := range entries {
		e := &entries[i]
		if e.Kind == consensus.Reconfiguration || e.Kind == consensus.Empty {
			continue
		}
		departed, err := state.DeparturesOf(e.Data)
		if err != nil {
			continue
		}
		for _, d := range departed {
			stored = append(stored, storedDeparture{d, e.Index})
		}
	}
	return stored
}

// departed returns the highest incarnation of each upstream that has departed, by name.
func (g *group) departed() map[string]uint64 {
	departed := g.machine.Departed()
	for _, d := range g.storedDepartures {
		if d.index > g.machine.Applied() {
			departed[d.Name] = max(departed[d.Name], d.Incarnation)
		}
	}
	return departed
}

// followDepartures takes the upstreams out of use of which the log says that they have departed.
func (c *core) followDepartures() {
	if c.group.machine.DeparturesVersion() != c.departuresAt {
		c.applyDepartures()
	}
}

func (c *core) applyDepartures() {
	c.departuresAt = c.group.machine.DeparturesVersion()
	departed := c.group.departed()
	c.direct.SetDeparted(departed)
	for _, name := range c.known.SetDeparted(departed) {
		if a, found := c.known.Find(name); found {
			eventUpstreamLeaving.Log(c.log, upstreamFields(a))
			c.markUpstreamChanged(a)
		}
	}
}

// markDeparted marks an announcement of an upstream that has departed as one that leaves.
func (c *core) markDeparted(a *upstream.Announcement) {
	a.Leaving = a.Leaving || c.known.HasDeparted(a.Name, a.Incarnation)
}

// expireDepartures drops the departures that have been kept for their retention.
func (l *leader) expireDepartures(now time.Time) {
	g := l.core.group
	l.departures.Observe(now, g.machine.DeparturesVersion())
	upTo := l.departures.Due(now, l.core.timing.Departed)
	if oldest := g.machine.OldestDeparture(); oldest == 0 || oldest > upTo || !l.votersSupport(state.VersionDepartures) {
		return
	}
	ignored := make(chan proposalResult, 1) // if it is not committed, they are kept for another retention
	g.propose(now, &state.Command{At: now.Round(0).UTC(), Departures: &state.Departures{Expired: upTo}}, ignored)
}
