package control

import (
	"sync/atomic"

	"celeryport/rpc"
)

// SyncTraffic counts the syncs of this process and their bytes, by what they carry. All counters
// only grow.
type SyncTraffic struct {
	SyncsSent          atomic.Uint64 // answered ones
	SyncsAnswered      atomic.Uint64
	StatementBytes     atomic.Uint64 // sent: what instances state about themselves, and voters about theirs
	AnnouncementBytes  atomic.Uint64 // sent: announcements that this process received directly
	ResponseBytes      atomic.Uint64 // answered: settings, members and everything else but upstreams
	RelayedBytes       atomic.Uint64 // answered: announcements of all upstreams
	AnnouncementsTaken atomic.Uint64 // announcements that upstreams made to this process
}

// SyncTraffic returns the counters of this instance.
func (n *Node) SyncTraffic() *SyncTraffic { return &n.traffic }

func (t *SyncTraffic) recordSent(request *rpc.SyncRequest) {
	t.SyncsSent.Add(1)
	t.StatementBytes.Add(uint64(len(request.State)))
	t.AnnouncementBytes.Add(uint64(len(request.Heard)))
}

func (t *SyncTraffic) recordAnswered(response *rpc.SyncResponse) {
	t.SyncsAnswered.Add(1)
	t.ResponseBytes.Add(uint64(len(response.State)))
	t.RelayedBytes.Add(uint64(len(response.Upstreams)))
}
