package standin

import (
	"strings"
	"testing"
)

// An engine is killed while it runs a prompt that must not run twice, and another
// engine runs it again. The first engine can't be queried any more, but its journal
// shows that it had started the work.
func TestExecutionsShowDoubledKeysOfKilledUpstreams(t *testing.T) {
	begun := func(upstream, key string) string {
		return `{"upstream":"` + upstream + `","request":"r","key":"` + key + `","ended":"begun"}` + "\n"
	}
	const whole = `{"upstream":"e2","request":"r","key":"k1","ended":"whole"}` + "\n"
	for _, test := range []struct {
		name     string
		journals []string
		keys     int
		doubled  int
		fails    bool
	}{
		{"once", []string{begun("e1", "k1") + whole, begun("e2", "k2")}, 2, 0, false},
		{"on a killed engine and on another one", []string{begun("e1", "k1"), begun("e2", "k1") + whole}, 1, 1, false},
		{"twice on one", []string{begun("e1", "k1") + begun("e1", "k1")}, 1, 1, false},
		{"refused, then run", []string{strings.Replace(begun("e1", "k1"), "begun", "refused", 1), begun("e2", "k1")}, 1, 0, false},
		{"without a key", []string{begun("e1", "") + begun("e1", "")}, 0, 0, false},
		{"last line truncated by the kill", []string{begun("e1", "k1") + `{"upstr`}, 1, 0, false},
		{"truncated in the middle", []string{`{"upstr` + "\n" + begun("e1", "k1")}, 0, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := NewExecutions()
			var failed error
			for _, journal := range test.journals {
				if err := x.Read(strings.NewReader(journal)); err != nil {
					failed = err
				}
			}
			if len(x.Doubled()) != test.doubled || x.Keys() != test.keys || (failed != nil) != test.fails {
				t.Errorf("%d keys, doubled %+v, %v", x.Keys(), x.Doubled(), failed)
			}
		})
	}
}
