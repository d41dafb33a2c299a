package accounting

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"celeryport/event"
	"celeryport/ledger"
	"celeryport/membership"
)

// maxConcurrentDumps bounds the number of instances that a report queries at the
// same time.
const maxConcurrentDumps = 16

// fleetState holds the combined counters of all instances that answered.
type fleetState struct {
	state  *ledger.State
	live   map[ledger.ID]bool
	listed map[ledger.ID]bool // true: alive according to the control group

	missingVoters []string // voters that did not answer
}

func (k *fleetState) input(query ledger.Query, now time.Time) ledger.ReportInput {
	return ledger.ReportInput{
		Query:         query,
		Now:           now,
		State:         k.state,
		Live:          k.live,
		Listed:        k.listed,
		MissingVoters: k.missingVoters,
	}
}

// dumpAnswer is the JSON response to the dump command, which a report sends to all
// other instances. An instance that does not answer in time is reported as unknown
// rather than as zero.
type dumpAnswer struct {
	Account []byte `json:"own,omitempty"`
	Store   []byte `json:"book,omitempty"`
}

// gather queries this instance and all others that are not known to be gone.
func (r *Reporter) gather(ctx context.Context) fleetState {
	missing := r.voters()
	listed, addresses := r.listed()
	for address := range missing {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	var mu sync.Mutex
	var dumps []*ledger.Dump
	var group errgroup.Group
	group.SetLimit(maxConcurrentDumps)
	for _, address := range addresses {
		group.Go(func() error {
			dump, err := r.ask(ctx, address)
			if err != nil {
				dumpFailed.Log(r.opts.Log, event.Fields{"instance": address, "error": err.Error()})
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			dumps = append(dumps, dump)
			if dump.Store != nil {
				delete(missing, address)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	live := ledger.LiveOf(dumps)
	return fleetState{
		state:         ledger.Combine(dumps),
		live:          live,
		listed:        listed,
		missingVoters: slices.Sorted(maps.Values(missing)),
	}
}

// voters returns the names of the voters by control address.
func (r *Reporter) voters() map[string]string {
	voters := map[string]string{}
	if view := r.opts.View(); view != nil {
		for _, instance := range view.Instances {
			if instance.Voter {
				voters[instance.ControlAddress] = instance.Name
			}
		}
	}
	if len(voters) > 0 {
		return voters
	}
	for _, member := range r.opts.Voters {
		voters[member.Address] = member.ID
	}
	return voters
}

// listed returns the instances that the control group lists, and the control
// addresses to query, including that of this instance.
func (r *Reporter) listed() (listed map[ledger.ID]bool, addresses []string) {
	listed = map[ledger.ID]bool{}
	addresses = []string{r.opts.Address}
	view := r.opts.View()
	if view == nil {
		return listed, addresses
	}
	for _, instance := range view.Instances {
		alive := instance.State != membership.Gone
		listed[ledger.ID{Instance: instance.Name, Incarnation: instance.Incarnation}] = alive
		if alive && instance.ControlAddress != r.opts.Address {
			addresses = append(addresses, instance.ControlAddress)
		}
	}
	return listed, addresses
}

func (r *Reporter) ask(ctx context.Context, address string) (*ledger.Dump, error) {
	if address == r.opts.Address {
		return r.ownDump()
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	body, err := r.opts.Operations.Ask(ctx, address, commandDump, nil)
	if err != nil {
		return nil, err
	}
	var answer dumpAnswer
	if err := decodeBody(body, &answer); err != nil {
		return nil, err
	}
	return ledger.DecodeDump(r.opts.Clock.Now(), answer.Account, answer.Store)
}

// ownDump encodes and decodes the dump like that of another instance, because a
// report modifies the state that it combines, which must not be the store's own.
func (r *Reporter) ownDump() (*ledger.Dump, error) {
	answer, err := r.dump()
	if err != nil {
		return nil, err
	}
	return ledger.DecodeDump(r.opts.Clock.Now(), answer.Account, answer.Store)
}

func (r *Reporter) dump() (*dumpAnswer, error) {
	answer := &dumpAnswer{}
	var err error
	if account := r.account.Load(); account != nil {
		answer.Account, err = ledger.EncodeAccount(account.Snapshot(r.opts.Clock.Now(), 0))
	}
	if err == nil && r.opts.Store != nil {
		answer.Store, err = r.opts.Store.Encoded()
	}
	return answer, err
}

func (r *Reporter) handleDump(context.Context, []byte) ([]byte, error) {
	answer, err := r.dump()
	if err != nil {
		return nil, err
	}
	return encodeBody(answer)
}
