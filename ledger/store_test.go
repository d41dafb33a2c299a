package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/request"
	"celeryport/verdict"
	"celeryport/wal"
)

// fixedClock implements clock.Clock.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

func openStore(t *testing.T, folder string, fs wal.FS) *Store {
	t.Helper()
	store, err := OpenStore(folder, fs, discardLogger(), fixedClock{testStart})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func serveMany(a *Account, first, n int) {
	for i := range n {
		r := &request.Request{ID: fmt.Sprint("r", first+i), Organisation: "atelier", Class: "counter", Target: "sarto"}
		a.Received(r)
		a.Served(r, Served{
			PromptTokens: 900, AnswerTokens: 20, InTime: true,
			FirstToken: time.Duration(first+i) * time.Millisecond, TokenGap: time.Duration(i) * time.Microsecond,
		})
	}
}

func copyTo(t *testing.T, a *Account, store *Store, position []byte, at time.Time) []byte {
	t.Helper()
	encoded, _, err := a.Copy(at, position)
	if err != nil {
		t.Fatal(err)
	}
	position, err = store.Merge(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return position
}

func servedIn(store *Store) uint64 {
	report := NewReport(ReportInput{Now: testStart, State: store.state})
	return report.Total.Served
}

// A voter restarts repeatedly. The report would lack requests if the voter kept its
// counters only in memory, and show too many if it replayed its log twice.
func TestCountersSurviveRestarts(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder, wal.OS{})
	account := testAccount(t, ID{"one", 1}, testStart)
	var position []byte
	total := 0
	for round := range 5 {
		at := testStart.Add(time.Duration(round) * time.Second)
		position = copyTo(t, account, store, position, at) // nothing has changed
		serveMany(account, total, 10)
		total += 10
		position = copyTo(t, account, store, position, at)
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
		store = openStore(t, folder, wal.OS{})
		if got := servedIn(store); got != uint64(total) {
			t.Fatalf("round %d: %d of %d served after the restart", round, got, total)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// The log is replaced by the state while copies keep arriving. If the log were
// rewritten before the newest copy is applied, that copy would be lost: its instance
// does not send it again, and the report would lack its requests permanently.
func TestLogRewriteKeepsTheNewestCopy(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder, wal.OS{})
	account := testAccount(t, ID{"one", 1}, testStart)
	position, total := []byte(nil), 0
	for store.rewritten == 0 {
		serveMany(account, total, 1000)
		total += 1000
		position = copyTo(t, account, store, position, testStart)
		for range 50 { // as if lost answers had made the instance send everything again
			store.appended += rewriteMinBytes / 1000
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	store = openStore(t, folder, wal.OS{})
	if got := servedIn(store); got != uint64(total) {
		t.Fatalf("%d of %d served after the rewrite", got, total)
	}
	if again := copyTo(t, account, store, position, testStart); string(again) == string(position) {
		t.Error("the store no longer applies copies of the account")
	}
}

// fullDisk fails every sync once it is full.
type fullDisk struct {
	wal.OS
	full *bool
}

type fullDiskFile struct {
	wal.File
	full *bool
}

var errFull = errors.New("no space left")

func (d fullDisk) Append(name string) (wal.File, error) {
	f, err := d.OS.Append(name)
	return fullDiskFile{f, d.full}, err
}

func (f fullDiskFile) Sync() error {
	if *f.full {
		return errFull
	}
	return f.File.Sync()
}

// The disk of a voter is full. If the voter acknowledged a copy that is not synced,
// the instance would not send it again, and its counters would be lost at the next
// restart of the voter.
func TestMergeAcknowledgesOnlySyncedCopies(t *testing.T) {
	full := false
	store := openStore(t, t.TempDir(), fullDisk{full: &full})
	account := testAccount(t, ID{"one", 1}, testStart)
	serveMany(account, 0, 1)
	position := copyTo(t, account, store, nil, testStart)
	full = true
	serveMany(account, 1, 1)
	encoded, _, err := account.Copy(testStart, position)
	if err != nil {
		t.Fatal(err)
	}
	if position, err := store.Merge(encoded); err == nil {
		t.Fatalf("acknowledged %x", position)
	}
	if got := servedIn(store); got != 1 {
		t.Errorf("the report shows %d served requests, 1 is synced", got)
	}
}

// Guards against a voter that stores no more counters until a restart because its disk was full for
// some seconds.
func TestMergeAcceptsCopiesAgainWhenTheDiskHasRoom(t *testing.T) {
	full, folder := false, t.TempDir()
	store := openStore(t, folder, fullDisk{full: &full})
	account := testAccount(t, ID{"one", 1}, testStart)
	serveMany(account, 0, 1)
	position := copyTo(t, account, store, nil, testStart)
	serveMany(account, 1, 1)
	full = true
	encoded, _, err := account.Copy(testStart, position)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Merge(encoded); err == nil {
		t.Fatal("acknowledged on a full disk")
	}
	full = false
	copyTo(t, account, store, position, testStart)
	if got := servedIn(store); got != 2 {
		t.Errorf("the report shows %d served requests of 2", got)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if got := servedIn(openStore(t, folder, wal.OS{})); got != 2 {
		t.Errorf("%d served requests of 2 were stored", got)
	}
}

func TestMergeRejectsMalformedCopies(t *testing.T) {
	store := openStore(t, t.TempDir(), wal.OS{})
	unsorted := Copy{ID: ID{"one", 1}, To: 1, Series: []SeriesCopy{{Counters: Counters{
		Fields: []Field{9, 3}, Values: []uint64{1, 1},
	}}}}
	twice := unsorted
	twice.Series = []SeriesCopy{{Counters: Counters{Fields: []Field{3, 3}, Values: []uint64{1, 1}}}}
	for _, c := range []any{"text", Copy{}, Copy{ID: ID{"one", 1}, From: 3, To: 2}, unsorted, twice} {
		encoded, err := encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Merge(encoded); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	account := testAccount(b, ID{"one", 1}, testStart)
	requests := make([]request.Request, b.N)
	for i := range requests {
		requests[i] = request.Request{ID: fmt.Sprint(i), Organisation: "atelier", Class: "counter", Target: "sarto"}
	}
	b.ResetTimer()
	for i := range requests {
		r := &requests[i]
		account.Received(r)
		if i%10 == 0 {
			account.Refused(r, verdict.ReasonShare)
			continue
		}
		account.Served(r, Served{PromptTokens: 900, AnswerTokens: 20, FirstToken: time.Duration(i%500) * time.Millisecond})
	}
}
