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

// The intervals of the copies. What an instance counted after its last copy is
// unknown when it is killed.
const (
	DefaultInterval = 2 * time.Second
	DefaultTimeout  = 3 * time.Second
)

// CopierOptions set up a Copier. Log, Account, Clients and View must be set.
type CopierOptions struct {
	Log      logrus.FieldLogger
	Account  ledger.Source
	Clients  *rpc.Clients
	View     func() *control.View
	Interval time.Duration // zero: DefaultInterval
	Timeout  time.Duration // of one copy; zero: DefaultTimeout
	Clock    clock.Clock   // nil: the machine's
}

// Copier copies the account of this instance to every voter.
type Copier struct {
	opts CopierOptions
	send func(ctx context.Context, address string, encoded []byte) (*rpc.LedgerResponse, error)

	mu            sync.Mutex
	positions     map[string][]byte // what each voter has, by control address
	failing       map[string]bool
	inProgress    map[string]bool // a copy to the voter is under way
	fullyCopiedAt time.Time       // when a voter last had everything
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

// Age is the time since a voter last had everything that was counted.
func (c *Copier) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Clock.Now().Sub(c.fullyCopiedAt)
}

// Run copies until the context ends. Flush makes the first copy before the first
// request, so that the voters know of this incarnation, and the last one
// afterwards.
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

// copyToIdle begins a copy to every voter to which none is under way. One that
// hangs, on a connection gone silent, must not keep the counters from the others:
// were this instance killed then, more would be unknown than need be.
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

// Flush copies to all voters once, and returns how many of them have everything.
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

// exchanges is how many copies bring a voter up to date: if it lacks what came
// before the first one, its answer says so, and the second starts from there.
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

// call is send over the control protocol.
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

// note logs when copies to a voter begin to fail and when they succeed again,
// not every one between.
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
