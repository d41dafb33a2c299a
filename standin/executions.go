package standin

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEntry bounds one line of a journal in bytes.
const maxEntry = 1 << 20

// Execution is one key and how often its work began, on any upstream.
type Execution struct {
	Key       string
	Count     int
	Upstreams []string // one for each time
}

// Executions counts beginnings by Idempotency-Key over journals of any number of
// upstreams, killed ones included.
type Executions struct {
	byKey map[string]*Execution
}

// NewExecutions returns a count of nothing.
func NewExecutions() *Executions { return &Executions{byKey: map[string]*Execution{}} }

// Read adds one journal. Its last line may be cut, as a killed process leaves it.
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

// Keys returns how many keys began.
func (x *Executions) Keys() int { return len(x.byKey) }

// Doubled returns the keys that began more than once.
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
