package accounting

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/settings"
	"celeryport/verdict"
)

// The commands that a Reporter answers.
const (
	CommandReport = "report"
	CommandBurn   = "burn"
	commandDump   = "ledger-dump"
)

// ReporterOptions set up a Reporter. Log, Operations, View and Address must be
// set.
type ReporterOptions struct {
	Log        logrus.FieldLogger
	Operations control.Operations
	View       func() *control.View
	Book       *ledger.Book // nil on an instance that is no voter
	Address    string       // this instance's own control address
	// Voters are those of the process settings. They are asked as long as the
	// control group has named none: without a majority a restarted instance would
	// otherwise take its own book for all there is.
	Voters []settings.Member
	Clock  clock.Clock // nil: the machine's
}

// Reporter answers operators' reports on any instance: it asks all of them for
// what they know and merges it.
type Reporter struct {
	opts    ReporterOptions
	account atomic.Pointer[ledger.Account]
}

// Count gives the reporter the account of this incarnation. Commands have to be
// registered before the instance starts, its incarnation is known only later.
func (r *Reporter) Count(account *ledger.Account) { r.account.Store(account) }

// NewReporter returns a reporter and registers its commands, which has to be
// before the instance starts.
func NewReporter(opts ReporterOptions) *Reporter {
	if opts.Clock == nil {
		opts.Clock = clock.Real{}
	}
	r := &Reporter{opts: opts}
	opts.Operations.Handle(CommandReport, r.handleReport)
	opts.Operations.Handle(CommandBurn, r.handleBurn)
	opts.Operations.Handle(commandDump, r.handleDump)
	return r
}

// Report makes a report over all instances.
func (r *Reporter) Report(ctx context.Context, query ledger.Query) *ledger.Report {
	fleet := r.gather(ctx)
	return ledger.NewReport(fleet.input(query, r.opts.Clock.Now()))
}

func (r *Reporter) handleReport(ctx context.Context, body []byte) ([]byte, error) {
	var query ledger.Query
	if err := decodeBody(body, &query); err != nil {
		return nil, err
	}
	return encodeBody(r.Report(ctx, query))
}

func decodeBody(body []byte, into any) error {
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "malformed command")
	}
	return nil
}

func encodeBody(answer any) ([]byte, error) {
	body, err := json.Marshal(answer)
	return body, errors.Wrap(err, "encoding an answer")
}

// dumpTimeout bounds how long a report waits for an instance.
const dumpTimeout = 2 * time.Second
