package instance

import (
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/accounting"
	"celeryport/clock"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/settings"
	"celeryport/wal"
)

const ledgerFolder = "ledger"

// books are the ledger's part of an instance: its own account, and on a voter
// the book of all accounts.
type books struct {
	options *Options
	book    *ledger.Book // nil on an instance that is no voter
	reports *accounting.Reporter
}

func openBooks(options *Options) (*books, error) {
	b := &books{options: options}
	if !options.Process.Voter {
		return b, nil
	}
	folder := filepath.Join(options.Process.DataFolder, ledgerFolder)
	book, err := ledger.OpenBook(folder, wal.OS{}, options.Log, clock.Real{})
	if err != nil {
		return nil, errors.Wrap(err, "ledger")
	}
	b.book = book
	return b, nil
}

// store is what copies of other instances are kept in.
func (b *books) store() ledger.Store {
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
		Book:       b.book,
		Address:    b.options.Process.ControlAdvertise,
	})
}

// open starts the account of this incarnation.
func (b *books) open(node *control.Node) *ledger.Account {
	id := ledger.ID{Instance: b.options.Process.Name, Incarnation: node.View().Incarnation}
	account := ledger.NewAccount(id, time.Now(), b.options.Log)
	account.Follow(func() *settings.Tree { return node.View().Tree })
	b.reports.Count(account)
	return account
}

func (b *books) close() error {
	if b.book == nil {
		return nil
	}
	return errors.Wrap(b.book.Close(), "close the ledger")
}
