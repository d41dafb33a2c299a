package control

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/consensus"
	"celeryport/ledger"
	"celeryport/membership"
	"celeryport/rpc"
	"celeryport/settings"
	"celeryport/wal"
)

// Options configure a Node. Process and Log must be set.
type Options struct {
	Process  *settings.Process
	Log      logrus.FieldLogger
	Clock    clock.Clock                                            // nil: the machine's
	Listener net.Listener                                           // nil: listen on Process.ControlListen
	Dial     rpc.Dial                                               // nil: TCP
	Ledger   ledger.Store                                           // nil: copies are refused
	Random   *rand.Rand                                             // nil: seeded from the machine
	Parse    func(file string, text []byte) (*settings.Tree, error) // nil: settings.ParseTree
	FS       wal.FS                                                 // nil: the machine's; tests make it fail
	Timing   Timing                                                 // zero: DefaultTiming
	FanOut   bool                                                   // instances without a log sync with any voter, which passes on to the leader what they state
	Heal     int                                                    // voters that the leader keeps by itself; 0: operators replace them
	Extra    http.Handler                                           // answers paths at the control address that are not the instances' own; nil: none
	ExtraAt  string                                                 // path prefix that Extra answers
}

// Timing holds the intervals of control.
type Timing struct {
	Consensus  consensus.Timing
	Membership membership.Timing
	Sync       time.Duration // longest hold of a sync by the leader, and so the interval of heartbeats
	Call       time.Duration // timeout of one call between instances, above Sync
	Search     time.Duration // timeout of asking all voters at once who leads
	Stagger    time.Duration // after which an instance without settings asks one more voter
	Look       time.Duration // pause of an instance without settings before it asks a silent voter again, and the first bound of a connection, doubled each time
	Fresh      time.Duration // an upstream that was not heard for longer counts as silent, where the settings say nothing of it
	Retry      time.Duration // pause after a failed sync
	Touch      time.Duration // a voter whose last sync worked so long ago hears no leader; above Sync
	Leave      time.Duration // timeout of telling the leader that this instance ends
	Compact    uint64        // applied entries between two snapshots of the log
}

// DefaultTiming returns the intervals in production. A change is in force within
// Membership.Lease plus Margin of its commit even when an instance is cut off.
func DefaultTiming() Timing {
	return Timing{
		Consensus: consensus.Timing{
			Heartbeat:   150 * time.Millisecond,
			ElectionMin: 1200 * time.Millisecond,
			Lease:       time.Second,
		},
		Membership: membership.Timing{
			Lease:     4 * time.Second,
			Margin:    500 * time.Millisecond,
			Retention: 24 * time.Hour,
		},
		Sync:    500 * time.Millisecond,
		Call:    2 * time.Second,
		Search:  500 * time.Millisecond,
		Stagger: 100 * time.Millisecond,
		Look:    25 * time.Millisecond, // a quarter of Retry; a connection within a region takes 1 to 2 ms
		Fresh:   3 * time.Second,
		Retry:   100 * time.Millisecond,
		Touch:   1200 * time.Millisecond,
		Leave:   time.Second,
		Compact: 1000,
	}
}

// withDefaults fills what was left out.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.Parse == nil {
		o.Parse = settings.ParseTree
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	return o
}

// controlAddress is where other instances reach this one.
func (o *Options) controlAddress() string {
	if o.Process.ControlAdvertise != "" {
		return o.Process.ControlAdvertise
	}
	return o.Process.ControlListen
}

// trafficAddress is what callers are given.
func (o *Options) trafficAddress() string {
	if o.Process.Advertise != "" {
		return o.Process.Advertise
	}
	return o.Process.Listen
}
