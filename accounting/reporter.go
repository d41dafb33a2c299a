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

// The commands that a Reporter handles.
const (
	CommandReport = "report"
	CommandBurn   = "burn"
	commandDump   = "ledger-dump"
)

// ReporterOptions configure a Reporter. Log, Operations, View and Address are
// required.
type ReporterOptions struct {
	Log        logrus.FieldLogger
	Operations control.Operations
	View       func() *control.View
	Store      *ledger.Store // nil unless the instance is a voter
	Address    string        // control address of this instance
	// Voters lists the voters in the process settings. They are queried as long as
	// the control group has named none: without a majority, a restarted instance
	// would otherwise treat its own counters as complete.
	Voters []settings.Member
	Clock  clock.Clock // nil: the system clock
}

// Reporter answers operators' requests for reports on any instance. It queries all
// instances and merges their counters.
type Reporter struct {
	opts    ReporterOptions
	account atomic.Pointer[ledger.Account]
}

// SetAccount sets the account of this incarnation. It is separate from NewReporter because
// commands have to be registered before the instance starts, while its incarnation is
// known only afterwards.
func (r *Reporter) SetAccount(account *ledger.Account) { r.account.Store(account) }

// NewReporter returns a reporter and registers its commands. It must be called before
// the instance starts.
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

// Report builds a report over all instances.
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

// dumpTimeout bounds the time for which a report waits for one instance.
const dumpTimeout = 2 * time.Second
