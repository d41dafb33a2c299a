package standin_test

import (
	"testing"

	"celeryport/standin"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// Two issuers of orders are active for a moment, or an order is sent again after its
// answer was lost. Without the fencing number, the older issuer would revert the
// orders of the newer one.
func TestEngineFencesOrders(t *testing.T) {
	newer := &wire.Order{ID: "b", Term: 3, Index: 9, Kind: wire.OrderVersion, Value: "2"}
	older := &wire.Order{ID: "a", Term: 3, Index: 8, Kind: wire.OrderVersion, Value: "1"}
	for _, test := range []struct {
		fencing  upstream.Fencing
		accepted bool
		version  string
		executed int
	}{
		{upstream.FencingChecked, false, "2", 1},
		{upstream.FencingIgnored, true, "1", 3},
	} {
		inBubble(t, func(t *testing.T) {
			b := newBench(func(o *standin.EngineOptions) { o.Fencing = test.fencing })
			defer b.engine.Close()
			b.order(t, newer)
			b.order(t, newer)
			got := b.order(t, older)
			if got.Accepted != test.accepted || got.State.Version != test.version || len(got.State.Orders) != test.executed {
				t.Errorf("fencing %v: %+v", test.fencing, got)
			}
		})
	}
}
