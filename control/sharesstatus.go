package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// SharesStatus is the response to CommandShares.
type SharesStatus struct {
	Organisations []ShareStatus `json:"organisations"` // with a demand, by name
}

// ShareStatus is the position of one organisation in the fleet. Rates are numbers of engines that
// the calls of the last seconds keep busy.
type ShareStatus struct {
	Organisation     string  `json:"organisation"`
	Demand           float64 `json:"demand"`
	Served           float64 `json:"served"`
	Share            float64 `json:"share"`
	RefusedPerSecond float64 `json:"refused_per_second"` // calls refused because of the share
}

// engineRate is the number of microseconds of engine time per second that one engine provides.
const engineRate = float64(time.Second / time.Microsecond)

func (l *leader) sharesStatus() SharesStatus {
	var status SharesStatus
	for _, g := range l.allocation.totals() {
		if g.FleetShare > 0 {
			status.Organisations = append(status.Organisations, ShareStatus{
				Organisation: g.Organisation, RefusedPerSecond: g.FleetRefused,
				Demand: g.FleetDemand / engineRate, Served: g.FleetServed / engineRate, Share: g.FleetShare / engineRate,
			})
		}
	}
	return status
}

// listShares is the handler of CommandShares.
func (n *Node) listShares(ctx context.Context, _ []byte) ([]byte, error) {
	var status SharesStatus
	if err := n.asLeader(ctx, func(_ time.Time, l *leader) { status = l.sharesStatus() }); err != nil {
		return nil, err
	}
	answer, err := json.Marshal(status)
	return answer, errors.Wrap(err, "encode the shares")
}
