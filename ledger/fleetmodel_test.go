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

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testAccount(t interface{ Fatal(args ...any) }, id ID, at time.Time) *Account {
	tree, err := settings.ParseTree("tree.ini", []byte(testTree))
	if err != nil {
		t.Fatal(err)
	}
	a := NewAccount(id, at, discardLogger())
	a.Configure(tree)
	return a
}

// fleetModel is a fleet of accounts and voters that is driven by rapid, together
// with independent counts of the requests that it is sent.
type fleetModel struct {
	now            time.Time
	accounts       []*Account
	open           []map[string]*request.Request
	expected       []Counters // of each running incarnation
	expectedKilled map[ID]Counters
	voters         []*State
	positions      [][]position // by voter and instance
	network        [][]byte     // sent copies, each may arrive at any time, any number of times
	next           int
}

const (
	modelInstances = 3
	modelVoters    = 3
)

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{now: testStart, expectedKilled: map[ID]Counters{}}
	for i := range modelInstances {
		m.accounts = append(m.accounts, nil)
		m.open = append(m.open, nil)
		m.expected = append(m.expected, Counters{})
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
	m.expected[i] = Counters{}
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
	m.expected[i].Add(plainField(KindReceived), 1)
}

func (m *fleetModel) end(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	for id, r := range m.open[i] {
		delete(m.open[i], id)
		m.endOne(t, i, r)
		m.accounts[i].Served(r, Served{}) // a second end must not be counted
		return
	}
}

func (m *fleetModel) endOne(t *rapid.T, i int, r *request.Request) {
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		m.accounts[i].Served(r, Served{PromptTokens: 900, AnswerTokens: 7, FirstToken: time.Second, InTime: true})
		m.expected[i].Add(plainField(KindServed), 1)
	case 1:
		m.accounts[i].Refused(r, verdict.ReasonShare)
		m.expected[i].Add(refusedField(verdict.ReasonShare), 1)
	default:
		m.accounts[i].Failed(r, verdict.ReasonUpstream, verdict.MayHaveRun)
		m.expected[i].Add(failedField(verdict.ReasonUpstream, verdict.MayHaveRun), 1)
	}
}

// send sends a copy to one voter. It may arrive later, several times or never.
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
		if a.id == c.ID { // after a lost answer, the instance would use an older position
			m.positions[v][i] = position{c.ID.Incarnation, sequence}
		}
	}
}

// bringUpToDate makes two undisturbed exchanges between one instance and one voter.
// Afterwards the voter must be up to date: if the first copy left a gap, its answer
// returns the position from which the second starts.
func (m *fleetModel) bringUpToDate(t *rapid.T) {
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
	for n, f := range m.expected[i].Fields {
		if known.Get(f) != m.expected[i].Values[n] {
			t.Fatalf("%x: the voter has %d instead of %d", f, known.Get(f), m.expected[i].Values[n])
		}
	}
}

func (m *fleetModel) kill(t *rapid.T) {
	i := rapid.IntRange(0, modelInstances-1).Draw(t, "instance")
	m.expectedKilled[m.accounts[i].id] = m.expected[i]
	m.start(t, i, m.accounts[i].id.Incarnation+1)
}

// restartVoter rebuilds a voter from its encoded state.
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

func (m *fleetModel) loseVoterDisk(t *rapid.T) {
	m.voters[rapid.IntRange(0, modelVoters-1).Draw(t, "voter")] = NewState()
}

func (m *fleetModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
}
