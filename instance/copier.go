package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
	"celeryport/event"
	"celeryport/ledger"
	"celeryport/rpc"
)

const (
	copyInterval = time.Second     // between two copies of the counters
	copyTimeout  = 2 * time.Second // of one copy to one voter
)

// copier copies the counters of this instance to every voter. A copy holds what
// changed since the position that the voter returned last, so that a lost or
// doubled copy neither loses nor doubles a count.
type copier struct {
	options   *Options
	node      *control.Node
	account   *ledger.Account
	clients   *rpc.Clients
	positions map[string][]byte // by control address
}

func newCopier(options *Options, node *control.Node, account *ledger.Account) *copier {
	return &copier{
		options:   options,
		node:      node,
		account:   account,
		clients:   rpc.NewClients(options.Process.InstanceKey, nil),
		positions: map[string][]byte{},
	}
}

// run copies until ctx ends, and then once more: after a graceful shutdown
// nothing of this incarnation is unknown.
func (c *copier) run(ctx context.Context) error {
	defer c.clients.Close()
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		c.configure()
		c.copyAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.account.Close()
			c.copyAll(context.Background())
			return nil
		}
	}
}

// configure gives the account the names of the settings in force.
func (c *copier) configure() {
	if tree := c.node.View().Tree; tree != nil {
		c.account.Configure(tree)
	}
}

func (c *copier) copyAll(ctx context.Context) {
	for _, i := range c.node.View().Instances {
		if !i.Voter {
			continue
		}
		if err := c.copyTo(ctx, i.ControlAddress); err != nil {
			eventNotCopied.Log(c.options.Log, event.Fields{"voter": i.Name, "error": err.Error()})
		}
	}
}

func (c *copier) copyTo(ctx context.Context, address string) error {
	encoded, err := c.account.Copy(time.Now(), c.positions[address])
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	response, err := c.clients.At(address).CopyLedger(ctx, &rpc.LedgerRequest{Copy: encoded})
	if err != nil {
		return rpc.FromTwirp(err)
	}
	c.positions[address] = response.Stored
	return nil
}
