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

// Options configure a Node. Process and Log are required.
type Options struct {
	Process  *settings.Process
	Log      logrus.FieldLogger
	Clock    clock.Clock                                            // nil: the system clock
	Listener net.Listener                                           // nil: listen on Process.ControlListen
	Dial     rpc.Dial                                               // nil: TCP
	Ledger   ledger.CopyMerger                                      // nil: ledger copies are rejected
	Random   *rand.Rand                                             // nil: randomly seeded
	Parse    func(file string, text []byte) (*settings.Tree, error) // nil: settings.ParseTree
	FS       wal.FS                                                 // nil: the operating system's; tests inject failures
	Timing   Timing                                                 // zero: DefaultTiming
	FanOut   bool                                                   // instances without a log sync with any voter, which forwards their statements to the leader
	Heal     int                                                    // number of voters that the leader maintains automatically; 0: operators replace them
	// Connections is the number of connections that may be open at the control address; 0: no limit.
	Connections int
	Transit     http.Handler // takes over connections for calls of other instances; nil: none
	Extra       http.Handler // serves additional paths at the control address; nil: none
	ExtraAt     string       // path prefix served by Extra
}

// Timing holds the intervals of control.
type Timing struct {
	Consensus  consensus.Timing
	Membership membership.Timing
	Founding   time.Duration // until voters found the group without a minority that does not answer
	Sync       time.Duration // longest time for which the leader holds a sync, and so the heartbeat interval
	Call       time.Duration // timeout of one call between instances; greater than Sync
	Search     time.Duration // timeout of asking all voters at once which of them leads
	Stagger    time.Duration // time after which an instance without settings asks an additional voter
	// Probe is the pause before an instance without settings retries a voter, and the initial
	// timeout of a connection, doubled with each attempt.
	Probe time.Duration
	Fresh time.Duration // time after the last announcement at which an upstream counts as silent, unless the settings specify it
	Retry time.Duration // pause after a failed sync
	// Contact is the time after the last successful sync at which a voter counts as out of contact
	// with the leader; greater than Sync.
	Contact time.Duration
	Leave   time.Duration // timeout of notifying the leader when this instance stops
	Compact uint64        // number of applied entries between two snapshots of the log
	// Departed is how long the log keeps that an upstream has left. It is longer than any announcement is delayed
	// and any upstream goes on after it has left.
	Departed time.Duration
}

// DefaultTiming returns the intervals for production. A change is in force within
// Membership.Lease plus Margin of its commit even if an instance is partitioned.
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
		Founding: 5 * time.Second,

		Sync:    500 * time.Millisecond,
		Call:    2 * time.Second,
		Search:  500 * time.Millisecond,
		Stagger: 100 * time.Millisecond,
		Probe:   25 * time.Millisecond, // a quarter of Retry; connecting within a region takes 1 to 2 ms
		Fresh:   3 * time.Second,
		Retry:   100 * time.Millisecond,
		Contact: 1200 * time.Millisecond,
		Leave:   time.Second,
		Compact: 1000,

		Departed: time.Hour,
	}
}

// withDefaults sets the options that are unset.
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

// controlAddress is the address at which other instances reach this one.
func (o *Options) controlAddress() string {
	if o.Process.ControlAdvertise != "" {
		return o.Process.ControlAdvertise
	}
	return o.Process.ControlListen
}

// trafficAddress is the address given to callers.
func (o *Options) trafficAddress() string {
	if o.Process.Advertise != "" {
		return o.Process.Advertise
	}
	return o.Process.Listen
}
