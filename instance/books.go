package instance

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"celeryport/accounting"
	"celeryport/clock"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/metrics"
	"celeryport/rpc"
	"celeryport/settings"
	"celeryport/wal"
)

const ledgerFolder = "ledger"

// books are the ledger's part of an instance: its own account, and on a voter
// the book of all accounts.
type books struct {
	options *Options
	book    *ledger.Store // nil on an instance that is no voter
	reports *accounting.Reporter
	account *ledger.Account // of this incarnation
	copier  *accounting.Copier
}

func openBooks(options *Options) (*books, error) {
	b := &books{options: options}
	if !options.Process.Voter {
		return b, nil
	}
	folder := filepath.Join(options.Process.DataFolder, ledgerFolder)
	book, err := ledger.OpenStore(folder, wal.OS{}, options.Log, clock.Real{})
	if err != nil {
		return nil, errors.Wrap(err, "ledger")
	}
	b.book = book
	return b, nil
}

// store is what copies of other instances are kept in.
func (b *books) store() ledger.CopyMerger {
	if b.book == nil {
		return nil
	}
	return b.book
}

// answerReports registers the operators' reports, which has to be before the
// node runs.
func (b *books) answerReports(node *control.Node) {
	b.reports = accounting.NewReporter(accounting.ReporterOptions{
		Log:        b.options.Log,
		Operations: node,
		View:       node.View,
		Store:      b.book,
		Address:    b.options.Process.ControlAdvertise,
		Voters:     b.options.Process.Voters,
	})
}

// begin starts the account of this incarnation and makes its first copy: were
// the instance killed after its first request and before a copy, no report could
// say that it had existed.
func (b *books) begin(ctx context.Context, node *control.Node) {
	id := ledger.ID{Instance: b.options.Process.Name, Incarnation: node.View().Incarnation}
	b.account = ledger.NewAccount(id, time.Now(), b.options.Log)
	b.account.Follow(func() *settings.Tree { return node.View().Tree })
	b.reports.SetAccount(b.account)
	b.copier = accounting.NewCopier(accounting.CopierOptions{
		Log:     b.options.Log,
		Account: b.account,
		Clients: rpc.NewClients(b.options.Process.InstanceKey, nil),
		View:    node.View,
	})
	b.copier.Flush(ctx)
}

// copy copies the counters to the voters until ctx ends, and then once more:
// after a graceful shutdown nothing of this incarnation is unknown.
func (b *books) copy(ctx context.Context) error {
	b.copier.Run(ctx)
	b.account.Close()
	b.copier.Flush(context.WithoutCancel(ctx))
	return nil
}

// metrics is what this instance exposes.
func (b *books) metrics(node *control.Node) *prometheus.Registry {
	return metrics.NewRegistry(metrics.Sources{
		Account: b.account,
		View:    node.View,
		CopyAge: b.copier.Age,
		Clock:   clock.Real{},
	})
}

func (b *books) close() error {
	if b.book == nil {
		return nil
	}
	return errors.Wrap(b.book.Close(), "close the ledger")
}
