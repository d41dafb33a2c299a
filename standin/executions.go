package standin

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEntry limits one line of a journal in bytes.
const maxEntry = 1 << 20

// Execution counts how often the work of one key was started on any upstream.
type Execution struct {
	Key       string
	Count     int
	Upstreams []string // one entry for each start
}

// Executions counts the started executions of each Idempotency-Key in the journals
// of any number of upstreams, including killed ones.
type Executions struct {
	byKey map[string]*Execution
}

// NewExecutions returns an empty count.
func NewExecutions() *Executions { return &Executions{byKey: map[string]*Execution{}} }

// Read adds the entries of one journal. The last line may be truncated, as a killed
// process can leave it.
func (x *Executions) Read(journal io.Reader) error {
	lines := bufio.NewScanner(journal)
	lines.Buffer(nil, maxEntry)
	var failed error
	for lines.Scan() {
		if failed != nil {
			return failed
		}
		var entry Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			failed = errors.Wrap(err, "decode a line of the journal")
			continue
		}
		x.add(&entry)
	}
	return errors.Wrap(lines.Err(), "read the journal")
}

func (x *Executions) add(entry *Entry) {
	if entry.Ended != Begun || entry.Key == "" {
		return
	}
	one := x.byKey[entry.Key]
	if one == nil {
		one = &Execution{Key: entry.Key}
		x.byKey[entry.Key] = one
	}
	one.Count++
	one.Upstreams = append(one.Upstreams, entry.Upstream)
}

// Keys returns the number of keys whose work was started.
func (x *Executions) Keys() int { return len(x.byKey) }

// Doubled returns the keys whose work was started more than once, ordered by key.
func (x *Executions) Doubled() []Execution {
	var doubled []Execution
	for _, one := range x.byKey {
		if one.Count > 1 {
			doubled = append(doubled, *one)
		}
	}
	slices.SortFunc(doubled, func(a, b Execution) int { return cmp.Compare(a.Key, b.Key) })
	return doubled
}
