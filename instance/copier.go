package instance

import (
	"context"

	"celeryport/accounting"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/rpc"
)

// newCopier returns the copier of this incarnation after its first copy: were it
// killed after its first request and before a copy, no report could say that it
// had existed.
func newCopier(ctx context.Context, options *Options, node *control.Node, account *ledger.Account) *accounting.Copier {
	copier := accounting.NewCopier(accounting.CopierOptions{
		Log:     options.Log,
		Account: account,
		Clients: rpc.NewClients(options.Process.InstanceKey, nil),
		View:    node.View,
	})
	copier.Flush(ctx)
	return copier
}

// copyCounters copies the counters of this instance to the voters until ctx
// ends, and then once more: after a graceful shutdown nothing of this
// incarnation is unknown.
func copyCounters(ctx context.Context, copier *accounting.Copier, account *ledger.Account) error {
	copier.Run(ctx)
	account.Close()
	copier.Flush(context.WithoutCancel(ctx))
	return nil
}
