package control

import (
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a voter that waits for a founding that never comes without telling for whom.
func TestAwaitedFoundingIsLoggedWithTheMissingVoters(t *testing.T) {
	began := time.Now()
	p := foundingProgress{began: began}
	var logged []time.Duration
	for at := time.Duration(0); at <= 2*foundingLogInterval; at += time.Second {
		p.round()
		if at < foundingLogInterval {
			p.missing("10.0.0.1:8229", errors.New("connection refused"))
		}
		p.missing("10.0.0.2:8229", errors.New("no answer"))
		if p.due(began.Add(at)) {
			logged = append(logged, at)
		}
	}
	if len(logged) != 2 || logged[0] != foundingLogInterval || logged[1] != 2*foundingLogInterval {
		t.Errorf("logged after %v", logged)
	}
	fields := p.fields(began.Add(2 * foundingLogInterval))
	missing, _ := fields["missing"].(map[string]string)
	if !maps.Equal(missing, map[string]string{"10.0.0.2:8229": "no answer"}) || fields["waited_ms"] != 2*foundingLogInterval.Milliseconds() {
		t.Errorf("%v", fields)
	}
}
