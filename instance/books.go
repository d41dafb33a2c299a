package instance

import (
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/ledger"
	"celeryport/wal"
)

const ledgerFolder = "ledger"

// books are the ledger's part of an instance: its own account, and on a voter
// the book of all accounts.
type books struct {
	options *Options
	book    *ledger.Book // nil on an instance that is no voter
}

func openBooks(options *Options) (*books, error) {
	b := &books{options: options}
	if !options.Process.Voter {
		return b, nil
	}
	folder := filepath.Join(options.Process.DataFolder, ledgerFolder)
	book, err := ledger.OpenBook(folder, wal.OS{}, options.Log)
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

// open starts the account of this incarnation.
func (b *books) open(incarnation uint64) *ledger.Account {
	id := ledger.ID{Instance: b.options.Process.Name, Incarnation: incarnation}
	return ledger.NewAccount(id, time.Now(), b.options.Log)
}

func (b *books) close() error {
	if b.book == nil {
		return nil
	}
	return errors.Wrap(b.book.Close(), "close the ledger")
}
