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

func openBook(t *testing.T, folder string, fs wal.FS) *Book {
	t.Helper()
	book, err := OpenBook(folder, fs, silent(), fixedClock{testStart})
	if err != nil {
		t.Fatal(err)
	}
	return book
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

func copyTo(t *testing.T, a *Account, book *Book, position []byte, at time.Time) []byte {
	t.Helper()
	encoded, _, err := a.Copy(at, position)
	if err != nil {
		t.Fatal(err)
	}
	position, err = book.Merge(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return position
}

func servedIn(book *Book) uint64 {
	report := NewReport(ReportInput{Now: testStart, State: book.state})
	return report.Total.Served
}

// All processes restart one after the other. If the voter kept its counters only
// in memory, or read its log twice, the report would show too little or too much
// afterwards.
func TestBookSurvivesRestarts(t *testing.T) {
	folder := t.TempDir()
	book := openBook(t, folder, wal.OS{})
	account := testAccount(t, ID{"one", 1}, testStart)
	var position []byte
	total := 0
	for round := range 5 {
		at := testStart.Add(time.Duration(round) * time.Second)
		position = copyTo(t, account, book, position, at) // nothing has changed
		serveMany(account, total, 10)
		total += 10
		position = copyTo(t, account, book, position, at)
		if err := book.Close(); err != nil {
			t.Fatal(err)
		}
		book = openBook(t, folder, wal.OS{})
		if got := servedIn(book); got != uint64(total) {
			t.Fatalf("round %d: %d of %d served after the restart", round, got, total)
		}
	}
	if err := book.Close(); err != nil {
		t.Fatal(err)
	}
}

// The log of a book is replaced by its state while copies go on arriving. The
// copy whose arrival caused it is in neither if the order is wrong: its instance
// has forgotten it, and the report stays short for ever.
func TestBookRewritesItsLogWithoutLosingTheNewestCopy(t *testing.T) {
	folder := t.TempDir()
	book := openBook(t, folder, wal.OS{})
	account := testAccount(t, ID{"one", 1}, testStart)
	position, total := []byte(nil), 0
	for book.rewritten == 0 {
		serveMany(account, total, 1000)
		total += 1000
		position = copyTo(t, account, book, position, testStart)
		for range 50 { // a voter that always lost its answer is sent everything again
			book.appended += rewriteLeast / 1000
		}
	}
	if err := book.Close(); err != nil {
		t.Fatal(err)
	}
	book = openBook(t, folder, wal.OS{})
	if got := servedIn(book); got != uint64(total) {
		t.Fatalf("%d of %d served after the rewrite", got, total)
	}
	if again := copyTo(t, account, book, position, testStart); string(again) == string(position) {
		t.Error("the book does not follow the account any more")
	}
}

// brokenDisk fails every sync once it is full.
type brokenDisk struct {
	wal.OS
	full *bool
}

type brokenFile struct {
	wal.File
	full *bool
}

var errFull = errors.New("no space left")

func (d brokenDisk) Append(name string) (wal.File, error) {
	f, err := d.OS.Append(name)
	return brokenFile{f, d.full}, err
}

func (f brokenFile) Sync() error {
	if *f.full {
		return errFull
	}
	return f.File.Sync()
}

// A voter's disk is full. If it acknowledged a copy all the same, the instance
// would drop what the voter forgets at its next start.
func TestBookAcknowledgesNothingThatIsNotSynced(t *testing.T) {
	full := false
	book := openBook(t, t.TempDir(), brokenDisk{full: &full})
	account := testAccount(t, ID{"one", 1}, testStart)
	serveMany(account, 0, 1)
	position := copyTo(t, account, book, nil, testStart)
	full = true
	serveMany(account, 1, 1)
	encoded, _, err := account.Copy(testStart, position)
	if err != nil {
		t.Fatal(err)
	}
	if position, err := book.Merge(encoded); err == nil {
		t.Fatalf("acknowledged %x", position)
	}
	if got := servedIn(book); got != 1 {
		t.Errorf("%d served are shown, 1 is synced", got)
	}
}

func TestBookRefusesWhatIsNoCopy(t *testing.T) {
	book := openBook(t, t.TempDir(), wal.OS{})
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
		if _, err := book.Merge(encoded); err == nil {
			t.Errorf("%+v was taken", c)
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
