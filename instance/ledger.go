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

// ledgerParts holds the ledger components of an instance: the account of the instance itself
// and, on a voter, the copies of the accounts of all instances.
type ledgerParts struct {
	options *Options
	book    *ledger.Store // nil unless the instance is a voter
	reports *accounting.Reporter
	account *ledger.Account // of this incarnation
	copier  *accounting.Copier

	outliers *metrics.Outliers
}

// openLedger opens the ledger of a voter. It waits until ctx ends while the folder can't be opened
// for a reason that may pass.
func openLedger(ctx context.Context, options *Options, fs wal.FS) (*ledgerParts, error) {
	p := &ledgerParts{options: options, outliers: metrics.NewOutliers()}
	if !options.Process.Voter {
		return p, nil
	}
	folder := filepath.Join(options.Process.DataFolder, ledgerFolder)
	err := wal.Await(ctx, folder, options.Log, func() (err error) {
		p.book, err = ledger.OpenStore(folder, fs, options.Log, clock.Real{})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "ledger")
	}
	return p, nil
}

// store returns where copies of other instances' accounts are stored, nil unless the
// instance is a voter.
func (p *ledgerParts) store() ledger.CopyMerger {
	if p.book == nil {
		return nil
	}
	return p.book
}

// registerReports registers the handlers of operators' reports. It must be called before the
// node runs.
func (p *ledgerParts) registerReports(node *control.Node) {
	p.reports = accounting.NewReporter(accounting.ReporterOptions{
		Log:        p.options.Log,
		Operations: node,
		View:       node.View,
		Store:      p.book,
		Address:    p.options.Process.ControlAdvertise,
		Voters:     p.options.Process.Voters,
	})
}

// openAccount opens the account of this incarnation and copies it to the voters at once. If
// the instance were killed after its first request and before a copy, no report could show
// that this incarnation existed.
func (p *ledgerParts) openAccount(ctx context.Context, node *control.Node) {
	id := ledger.ID{Instance: p.options.Process.Name, Incarnation: node.View().Incarnation}
	p.account = ledger.NewAccount(id, time.Now(), p.options.Log)
	p.account.Follow(func() *settings.Tree { return node.View().Tree })
	p.reports.SetAccount(p.account)
	p.copier = accounting.NewCopier(accounting.CopierOptions{
		Log:     p.options.Log,
		Account: p.account,
		Clients: rpc.NewClients(p.options.Process.InstanceKey, nil),
		View:    node.View,
	})
	p.copier.Flush(ctx)
}

// runCopier copies the counters to the voters until ctx ends. Then it closes the account and
// copies once more, so that a graceful shutdown leaves no counters of this incarnation
// uncopied.
func (p *ledgerParts) runCopier(ctx context.Context) error {
	p.copier.Run(ctx)
	p.account.Close()
	p.copier.FlushLast(context.WithoutCancel(ctx))
	return nil
}

// metrics returns the registry of the metrics that this instance exposes.
func (p *ledgerParts) metrics(node *control.Node) *prometheus.Registry {
	registry := metrics.NewRegistry(metrics.Sources{
		Account: p.account,
		View:    node.View,
		CopyAge: p.copier.Age,
		Clock:   clock.Real{},

		Outliers: p.outliers,
	})
	registry.MustRegister(p.options.Collectors...)
	return registry
}

func (p *ledgerParts) close() error {
	if p.book == nil {
		return nil
	}
	return errors.Wrap(p.book.Close(), "close the ledger")
}
