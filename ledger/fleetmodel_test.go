package ledger

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

var testStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

const testTree = `
[organisation.atelier]
[organisation.archivio]
[class.counter]
[class.ledger]
[length.short]
up_to = 4k
[model.sarto]
[service.cassa]
`

func silent() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testAccount(t interface{ Fatal(args ...any) }, id ID, at time.Time) *Account {
	tree, err := settings.ParseTree("tree.ini", []byte(testTree))
	if err != nil {
		t.Fatal(err)
	}
	a := NewAccount(id, at, silent())
	a.Configure(tree)
	return a
}

// fleetModel is a fleet of accounts and voters under rapid, with the plain count
// of what really happened beside it.
type fleetModel struct {
	now       time.Time
	accounts  []*Account
	open      []map[string]*request.Request
	truth     []Counters // of each running incarnation
	copied    map[ID]Counters
	voters    []*State
	positions [][]position // by voter and instance
	network   [][]byte     // copies that were sent, may arrive at any time, any number of times
	next      int
}

const (
	modelInstances = 3
	modelVoters    = 3
)

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{now: testStart, copied: map[ID]Counters{}}
	for i := range modelInstances {
		m.accounts = append(m.accounts, nil)
		m.open = append(m.open, nil)
		m.truth = append(m.truth, Counters{})
		m.start(t, i, 1)
	}
	for range modelVoters {
		m.voters = append(m.voters, NewState())
		m.positions = append(m.positions, make([]position, modelInstances))
	}
	return m
}

func (m *fleetModel) start(t *rapid.T, i int, incarnation uint64) {
	m.accounts[i] = testAccount(t, ID{fmt.Sprint("instance-", i), incarnation}, m.now)
	m.open[i] = map[string]*request.Request{}
	m.truth[i] = Counters{}
}

func (m *fleetModel) receive(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	m.next++
	r := &request.Request{
		ID:           fmt.Sprint("request-", m.next),
		Organisation: rapid.SampledFrom([]string{"atelier", "archivio", "made-up"}).Draw(t, "organisation"),
		Class:        rapid.SampledFrom([]string{"counter", "ledger"}).Draw(t, "class"),
		Target:       "sarto",
	}
	m.open[i][r.ID] = r
	m.accounts[i].Received(r)
	m.truth[i].Add(plainField(KindReceived), 1)
}

func (m *fleetModel) end(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	for id, r := range m.open[i] {
		delete(m.open[i], id)
		m.endOne(t, i, r)
		m.accounts[i].Served(r, Served{}) // a second end must change nothing
		return
	}
}

func (m *fleetModel) endOne(t *rapid.T, i int, r *request.Request) {
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		m.accounts[i].Served(r, Served{PromptTokens: 900, AnswerTokens: 7, FirstToken: time.Second, InTime: true})
		m.truth[i].Add(plainField(KindServed), 1)
	case 1:
		m.accounts[i].Refused(r, verdict.ReasonShare)
		m.truth[i].Add(refusedField(verdict.ReasonShare), 1)
	default:
		m.accounts[i].Failed(r, verdict.ReasonUpstream, verdict.MayHaveRun)
		m.truth[i].Add(failedField(verdict.ReasonUpstream, verdict.MayHaveRun), 1)
	}
}

// send takes a copy for one voter. It arrives later, twice, or never.
func (m *fleetModel) send(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	v := rapid.IntRange(0, modelVoters-1).Draw(t, "voter")
	encoded, _, err := m.accounts[i].Copy(m.now, m.positions[v][i].encode())
	if err != nil {
		t.Fatal(err)
	}
	m.network = append(m.network, encoded)
}

func (m *fleetModel) arrive(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	v := rapid.IntRange(0, modelVoters-1).Draw(t, "voter")
	encoded := rapid.SampledFrom(m.network).Draw(t, "copy")
	c, err := decodeCopy(encoded)
	if err != nil {
		t.Fatal(err)
	}
	sequence := m.voters[v].Apply(c)
	for i, a := range m.accounts {
		if a.id == c.ID { // a lost answer only leaves an older position
			m.positions[v][i] = position{c.ID.Incarnation, sequence}
		}
	}
}

// settle brings one voter up to date with one instance, as two undisturbed
// exchanges do: the first may only tell the instance what the voter lacks.
func (m *fleetModel) settle(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	v := rapid.IntRange(0, modelVoters-1).Draw(t, "voter")
	a := m.accounts[i]
	for range 2 {
		encoded, _, err := a.Copy(m.now, m.positions[v][i].encode())
		if err != nil {
			t.Fatal(err)
		}
		c, err := decodeCopy(encoded)
		if err != nil {
			t.Fatal(err)
		}
		m.positions[v][i] = position{a.id.Incarnation, m.voters[v].Apply(c)}
	}
	var known Counters
	for _, counters := range m.voters[v].Incarnations[a.id].Series {
		known.AddAll(counters)
	}
	for n, f := range m.truth[i].Fields {
		if known.Get(f) != m.truth[i].Values[n] {
			t.Fatalf("%x: the voter has %d instead of %d", f, known.Get(f), m.truth[i].Values[n])
		}
	}
}

func (m *fleetModel) kill(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	m.copied[m.accounts[i].id] = m.truth[i]
	m.start(t, i, m.accounts[i].id.Incarnation+1)
}

// restartVoter rebuilds a voter from what it would have written.
func (m *fleetModel) restartVoter(t *rapid.T) {
	v := rapid.IntRange(0, modelVoters-1).Draw(t, "voter")
	encoded, err := encode(m.voters[v])
	if err != nil {
		t.Fatal(err)
	}
	state, err := decodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	m.voters[v] = state
}

func (m *fleetModel) loseVoter(t *rapid.T) {
	m.voters[rapid.IntRange(0, modelVoters-1).Draw(t, "voter")] = NewState()
}

func (m *fleetModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
}
