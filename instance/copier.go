package instance

import (
	"context"

	"celeryport/accounting"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/rpc"
)

// copyCounters copies the counters of this instance to the voters until ctx
// ends, and then once more: after a graceful shutdown nothing of this
// incarnation is unknown.
func copyCounters(ctx context.Context, options *Options, node *control.Node, account *ledger.Account) error {
	clients := rpc.NewClients(options.Process.InstanceKey, nil)
	defer clients.Close()
	copier := accounting.NewCopier(accounting.CopierOptions{
		Log:     options.Log,
		Account: account,
		Clients: clients,
		View:    node.View,
	})
	copier.Run(ctx)
	account.Close()
	copier.Flush(context.WithoutCancel(ctx))
	return nil
}
