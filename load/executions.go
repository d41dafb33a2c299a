package load

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"celeryport/standin/answer"
)

// pathCounts is the path at which the stand-in service reports how often it executed
// each call.
const pathCounts = "/counts"

// fetchCounts returns the sum of the execution counts of the services.
func fetchCounts(ctx context.Context, x *httpClient, addresses []string, key string) (*answer.Counts, error) {
	sum := &answer.Counts{Keys: map[string]int{}, Requests: map[string]int{}}
	for _, address := range addresses {
		body, err := x.get(ctx, address, pathCounts, key)
		if err != nil {
			return nil, errors.Wrapf(err, "ask %s what it executed", address)
		}
		var counts answer.Counts
		if err := json.Unmarshal(body, &counts); err != nil {
			return nil, errors.Wrapf(err, "decode what %s executed", address)
		}
		addCounts(sum.Keys, counts.Keys)
		addCounts(sum.Requests, counts.Requests)
	}
	return sum, nil
}

func addCounts(sum, more map[string]int) {
	for name, n := range more {
		sum[name] += n
	}
}

// executions is the result of comparing the outcomes that callers received with the
// executions.
type executions struct {
	doubled        int // calls that must not be repeated but ran more than once
	falselyRefused int // calls that ran although they were refused as not run
}

func compareExecutions(calls []callRecord, counts *answer.Counts) executions {
	var e executions
	for _, call := range calls {
		ran := max(counts.Keys[call.key], counts.Requests[call.requestID])
		if ran > 1 {
			e.doubled++
		}
		if ran > 0 && call.refused {
			e.falselyRefused++
		}
	}
	return e
}
