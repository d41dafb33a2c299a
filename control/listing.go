package control

import (
	"context"
	"time"

	"celeryport/membership"
	"celeryport/upstream"
)

// InstancesStatus is the response to CommandInstances.
type InstancesStatus struct {
	Leader    string                `json:"leader"` // control address
	Instances []membership.Instance `json:"instances"`
}

// listInstances is the handler of CommandInstances.
func (n *Node) listInstances(ctx context.Context, _ []byte) ([]byte, error) {
	var status InstancesStatus
	err := n.asLeader(ctx, func(now time.Time, l *leader) {
		l.table.Expire(now)
		status.Leader = l.core.self.ControlAddress
		status.Instances = l.table.Changed(0)
	})
	if err != nil {
		return nil, err
	}
	return encode(status)
}

// UpstreamStatus describes an upstream as seen by the instance that was asked.
type UpstreamStatus struct {
	Announcement upstream.Announcement `json:"announcement"`
	State        string                `json:"state"`
	HeardAgoMs   int64                 `json:"heard_ago_ms"`
}

// listUpstreams is the handler of CommandUpstreams. It responds with this instance's own
// view, so that operators can compare instances.
func (n *Node) listUpstreams(_ context.Context, _ []byte) ([]byte, error) {
	now := n.clock.Now()
	snapshot := n.View().Upstreams
	all := make([]UpstreamStatus, 0, len(snapshot.Upstreams))
	for i := range snapshot.Upstreams {
		u := &snapshot.Upstreams[i]
		all = append(all, UpstreamStatus{
			Announcement: u.Announcement,
			State:        u.StateAt(now).String(),
			HeardAgoMs:   now.Sub(u.AnnouncedAt).Milliseconds(),
		})
	}
	return encode(all)
}
