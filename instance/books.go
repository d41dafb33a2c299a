package instance

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
	"celeryport/ledger"
	"celeryport/wal"
)

const (
	ledgerFolder = "ledger"
	copyInterval = time.Second     // between two copies of the counters to the voters
	copyTimeout  = 2 * time.Second // of one copy
)
