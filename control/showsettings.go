package control

import (
	"context"
	"time"

	"celeryport/control/state"
	"celeryport/membership"
)

// SettingsStatus is the response to CommandShow.
type SettingsStatus struct {
	Accepted    state.Revision        `json:"accepted"`
	InForce     uint64                `json:"in_force"` // latest revision in force on every instance, 0 if unknown
	Outstanding []membership.Instance `json:"outstanding"`
	Settling    bool                  `json:"settling"` // a new leader is still waiting for leases granted by its predecessor
	Text        []byte                `json:"text"`
	History     []state.Revision      `json:"history"`
}

// shownHistory is the number of past revisions in a response.
const shownHistory = 20

// showSettings is the handler of CommandShow.
func (n *Node) showSettings(ctx context.Context, _ []byte) ([]byte, error) {
	var status SettingsStatus
	err := n.asLeader(ctx, func(now time.Time, l *leader) {
		machine := l.core.group.machine
		l.logInForce(now)
		status = SettingsStatus{
			Accepted:    machine.Current(),
			InForce:     l.inForce,
			Outstanding: l.table.Outstanding(machine.Current().Number),
			Settling:    !l.table.Settled(now),
			Text:        machine.Text(),
			History:     machine.History(shownHistory),
		}
	})
	if err != nil {
		return nil, err
	}
	return encode(status)
}
