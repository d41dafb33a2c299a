package capacity

import (
	"fmt"

	"celeryport/order"
)

// ReconcilerRows are what the issuer of engine orders spends, on the leader. Only
// its number of calls follows from the code; nothing of it was measured.
func (m *Model) ReconcilerRows() []Row {
	reread := order.DefaultTiming().Reread.Seconds()
	reads := m.target.Upstreams / reread
	unmeasured := func(quantity string) Row {
		return Row{Role: Reconciler, Quantity: quantity, Unknown: true, Mechanism: "`order.Reconciler`"}
	}
	return []Row{
		{
			Role: Reconciler, Quantity: "messages", Value: reads, Unit: CallsPerSecond, Carries: true,
			Formula:   fmt.Sprintf("at most %s engines / %s s (`order.DefaultTiming`), and the orders; by the code, not measured", number(m.target.Upstreams), number(reread)),
			Mechanism: "`order.Driver`",
		},
		unmeasured("bytes"), unmeasured("CPU"), unmeasured("memory"),
		{
			Role: Reconciler, Quantity: "syncs", Value: 0, Unit: SyncsPerSecond, Carries: true,
			Formula: "one log entry for each new issuer, so for each change of leader", Mechanism: "`control/state`, fencing number",
		},
	}
}
