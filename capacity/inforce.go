package capacity

// The intervals of control that bound a change, in seconds (docs/CONTROL.md).
const (
	leaseSeconds   = 3.0
	syncSeconds    = 0.5 // a sync call is held for so long, and the next one sent at once
	lapseSeconds   = 3.5 // the leader counts a lease as lapsed so long after its answer
	confirmSeconds = 1.0 // an instance that didn't confirm a change for so long gets no lease
)

// InForce is the time from an order to in force everywhere, in seconds.
type InForce struct {
	Spread       float64 // for one change to every instance, drawn from 8 to the target
	SpreadEach   float64 // of which for each instance, milliseconds
	Unreachable  float64 // with an instance that can't be reached
	Unconfirming float64 // with an instance that can't install it
	LeaderLost   float64 // with the leader lost after the commit
	Together     float64 // with the leader lost and an instance that can't install it
	Margin       float64 // of the last, to the letter's bound
}

// InForce adds the measured parts and the intervals of control. The spread grows
// by the difference between installed everywhere and committed, for each of the
// measured instances, as if the leader answered one after the other.
func (m *Model) InForce() InForce {
	c := &m.control.Changes
	var f InForce
	f.SpreadEach = (c.EverywhereMs.P99 - c.CommitMs.P50) / float64(c.Instances)
	f.Spread = (c.CommitMs.P99 + f.SpreadEach*m.target.Instances) / 1e3
	f.Unreachable = f.Spread + lapseSeconds
	f.Unconfirming = f.Spread + confirmSeconds + lapseSeconds
	f.LeaderLost = f.Spread + m.control.Elections.Max/1e3 + lapseSeconds
	f.Together = f.LeaderLost + confirmSeconds
	f.Margin = m.target.InForceSeconds - f.Together
	return f
}
