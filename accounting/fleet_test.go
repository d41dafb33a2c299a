package accounting

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/control"
	"celeryport/ledger"
	"celeryport/membership"
	"celeryport/rpc"
	"celeryport/settings"
	"celeryport/wal"
)

const testTree = `
[organisation.atelier]
[organisation.archivio]
[class.counter]
[class.hold]
[length.short]
up_to = 4k
[model.sarto]
[service.cassa]
`

var (
	testStart         = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	errConnectionLost = errors.New("no connection")
)

// testFleet is a fleet of accounts, copiers, stores and reporters, which are
// connected by the real protocol over in-memory connections.
type testFleet struct {
	now       time.Time
	tree      *settings.Tree
	log       logrus.FieldLogger
	folder    func() string
	emptyView bool // views list no instances, as before the first contact with a control group
	instances []*testInstance
}

// testInstance is one instance. It keeps its name across restarts.
type testInstance struct {
	fleet       *testFleet
	name        string
	voter       bool
	up          bool
	incarnation uint64
	folder      string
	account     *ledger.Account
	store       *ledger.Store
	copier      *Copier
	reporter    *Reporter
	handlers    map[string]control.Handler
	clients     *rpc.Clients
	listener    *fasthttputil.InmemoryListener
}

type fatalReporter interface{ Fatal(args ...any) }

func newTestFleet(t fatalReporter, folder func() string, voters, others int) *testFleet {
	tree, err := settings.ParseTree("tree.ini", []byte(testTree))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &testFleet{now: testStart, tree: tree, log: log, folder: folder}
	for n := range voters + others {
		i := &testInstance{fleet: f, name: fmt.Sprint("instance-", n), voter: n < voters, folder: folder()}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		i.start(t)
	}
	return f
}

// Now implements clock.Clock.
func (f *testFleet) Now() time.Time { return f.now }

func (f *testFleet) view() *control.View {
	view := &control.View{Tree: f.tree}
	if f.emptyView {
		return view
	}
	for _, i := range f.instances {
		state := membership.Live
		if !i.up {
			state = membership.Gone
		}
		view.Instances = append(view.Instances, membership.Instance{
			Name: i.name, Incarnation: i.incarnation, ControlAddress: i.address(), Voter: i.voter, State: state,
		})
	}
	return view
}

// members returns the voters as listed in the process settings of every instance.
func (f *testFleet) members() []settings.Member {
	var members []settings.Member
	for _, i := range f.instances {
		if i.voter {
			members = append(members, settings.Member{ID: i.name, Address: i.address()})
		}
	}
	return members
}

func (f *testFleet) at(address string) *testInstance {
	for _, i := range f.instances {
		if i.address() == address && i.up {
			return i
		}
	}
	return nil
}

func (f *testFleet) stop() {
	for _, i := range f.instances {
		i.kill()
	}
}

func (i *testInstance) address() string { return i.name + ":1" }

func (i *testInstance) start(t fatalReporter) {
	i.up = true
	i.incarnation++
	i.handlers = map[string]control.Handler{}
	if i.voter {
		store, err := ledger.OpenStore(i.folder, wal.OS{}, i.fleet.log, i.fleet)
		if err != nil {
			t.Fatal(err)
		}
		i.store = store
	}
	i.account = ledger.NewAccount(ledger.ID{Instance: i.name, Incarnation: i.incarnation}, i.fleet.now, i.fleet.log)
	i.account.Configure(i.fleet.tree)
	i.clients = rpc.NewClients("example-only-instance", i.fleet.dial)
	i.copier = NewCopier(CopierOptions{
		Log: i.fleet.log, Account: i.account, Clients: i.clients, View: i.fleet.view, Clock: i.fleet,
		Timeout: time.Hour, // syncing on a busy machine may exceed the default time-out
	})
	i.reporter = NewReporter(ReporterOptions{
		Log: i.fleet.log, Operations: i, View: i.fleet.view, Store: i.store, Address: i.address(), Clock: i.fleet,
		Voters: i.fleet.members(),
	})
	i.reporter.SetAccount(i.account)
	i.listener = fasthttputil.NewInmemoryListener()
	server := &http.Server{Handler: rpc.NewControlServer(&testService{instance: i})}
	listener := i.listener
	go func() { _ = server.Serve(listener) }()
	i.copier.Flush(context.Background())
}

// kill stops the instance like SIGKILL: without a final copy, and with its
// connections broken.
func (i *testInstance) kill() {
	if !i.up {
		return
	}
	i.up = false
	i.clients.Close()
	_ = i.listener.Close()
	if i.store != nil {
		_ = i.store.Close()
	}
}

// Handle implements control.Operations.
func (i *testInstance) Handle(command string, h control.Handler) { i.handlers[command] = h }

// Ask implements control.Operations.
func (i *testInstance) Ask(ctx context.Context, address, command string, body []byte) ([]byte, error) {
	other := i.fleet.at(address)
	if other == nil {
		return nil, errConnectionLost
	}
	return other.handlers[command](ctx, body)
}

func (f *testFleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	other := f.at(address)
	if other == nil {
		return nil, errConnectionLost
	}
	return other.listener.Dial()
}

// testService implements only CopyLedger; no other method is called.
type testService struct {
	rpc.Control
	instance *testInstance
}

// CopyLedger implements rpc.Control.
func (s *testService) CopyLedger(_ context.Context, in *rpc.LedgerRequest) (*rpc.LedgerResponse, error) {
	if !s.instance.up {
		return nil, errConnectionLost
	}
	position, err := s.instance.store.Merge(in.Copy)
	return &rpc.LedgerResponse{Stored: position}, err
}

func newFleetOf(t *testing.T, voters, others int) *testFleet {
	t.Helper()
	f := newTestFleet(t, func() string { return t.TempDir() }, voters, others)
	t.Cleanup(f.stop)
	return f
}
