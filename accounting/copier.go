package accounting

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/event"
	"celeryport/ledger"
	"celeryport/rpc"
)

// Defaults for copies to the voters. If an instance is killed, the requests that it
// counted after its last copy are unknown.
const (
	DefaultInterval = 2 * time.Second
	DefaultTimeout  = 3 * time.Second
)

// CopierOptions configure a Copier. Log, Account, Clients and View are required.
type CopierOptions struct {
	Log      logrus.FieldLogger
	Account  ledger.Source
	Clients  *rpc.Clients
	View     func() *control.View
	Interval time.Duration // zero: DefaultInterval
	Timeout  time.Duration // of one copy; zero: DefaultTimeout
	Clock    clock.Clock   // nil: the system clock
}

// Copier copies the account of this instance to every voter.
type Copier struct {
	opts CopierOptions
	send func(ctx context.Context, address string, encoded []byte) (*rpc.LedgerResponse, error)

	mu            sync.Mutex
	positions     map[string][]byte // last position returned by each voter, by control address
	failing       map[string]bool
	inProgress    map[string]bool // voters to which a copy is in progress
	fullyCopiedAt time.Time       // when any voter last had all counters
}

// NewCopier returns a copier that has copied nothing yet.
func NewCopier(opts CopierOptions) *Copier {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.Real{}
	}
	c := &Copier{opts: opts, positions: map[string][]byte{}, failing: map[string]bool{}, inProgress: map[string]bool{}}
	c.send = c.call
	c.fullyCopiedAt = opts.Clock.Now()
	return c
}

// Age returns the time since any voter last had all counters of this instance.
func (c *Copier) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Clock.Now().Sub(c.fullyCopiedAt)
}

// Run copies at every interval until the context ends. Call Flush before the first
// request, so that the voters know of this incarnation, and again after Run.
func (c *Copier) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.copyToIdleVoters(ctx, &group)
		}
	}
}

// copyToIdleVoters starts a copy to every voter to which no copy is in progress. A
// copy that hangs on an unresponsive connection must not delay copies to the other
// voters, or more requests would be unknown if this instance were killed.
func (c *Copier) copyToIdleVoters(ctx context.Context, group *sync.WaitGroup) {
	for _, address := range c.voters() {
		if !c.begin(address) {
			continue
		}
		group.Go(func() {
			defer c.end(address)
			c.copyTo(ctx, address)
		})
	}
}

func (c *Copier) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[address] {
		return false
	}
	c.inProgress[address] = true
	return true
}

func (c *Copier) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, address)
}

// Flush copies to all voters once and returns the number of voters that have all
// counters.
func (c *Copier) Flush(ctx context.Context) int {
	voters := c.voters()
	stored := make([]bool, len(voters))
	var group sync.WaitGroup
	for i, address := range voters {
		group.Go(func() { stored[i] = c.copyTo(ctx, address) })
	}
	group.Wait()
	n := 0
	for _, ok := range stored {
		if ok {
			n++
		}
	}
	return n
}

func (c *Copier) voters() []string {
	view := c.opts.View()
	if view == nil {
		return nil
	}
	var addresses []string
	for _, instance := range view.Instances {
		if instance.Voter {
			addresses = append(addresses, instance.ControlAddress)
		}
	}
	return addresses
}

// maxExchanges is the number of copies needed to bring a voter up to date. If the
// first copy leaves a gap, the voter returns its actual position, and the second
// copy starts from there.
const maxExchanges = 2

func (c *Copier) copyTo(ctx context.Context, address string) bool {
	for range maxExchanges {
		takenAt := c.opts.Clock.Now()
		encoded, upTo, err := c.opts.Account.Copy(takenAt, c.position(address))
		if err == nil {
			err = c.exchange(ctx, address, encoded)
		}
		c.logTransition(address, err)
		if err != nil {
			return false
		}
		if bytes.Compare(c.position(address), upTo) >= 0 {
			c.recordStored(takenAt)
			return true
		}
	}
	return false
}

func (c *Copier) exchange(ctx context.Context, address string, encoded []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	response, err := c.send(ctx, address, encoded)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.positions[address] = response.Stored
	return nil
}

// call implements send with the control protocol.
func (c *Copier) call(ctx context.Context, address string, encoded []byte) (*rpc.LedgerResponse, error) {
	response, err := c.opts.Clients.At(address).CopyLedger(ctx, &rpc.LedgerRequest{Copy: encoded})
	return response, rpc.FromTwirp(err)
}

func (c *Copier) position(address string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.positions[address]
}

func (c *Copier) recordStored(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.fullyCopiedAt) {
		c.fullyCopiedAt = at
	}
}

// logTransition logs when copies to a voter start to fail and when they succeed
// again, rather than logging each failed copy.
func (c *Copier) logTransition(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := err != nil
	if failed == c.failing[address] {
		return
	}
	c.failing[address] = failed
	if failed {
		copyFailed.Log(c.opts.Log, event.Fields{"voter": address, "error": err.Error()})
		return
	}
	copyResumed.Log(c.opts.Log, event.Fields{"voter": address})
}
