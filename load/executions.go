package load

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"celeryport/standin/answer"
)

// pathCounts is where the stand-in service tells what it executed.
const pathCounts = "/counts"

// fetchCounts adds up what the services executed.
func fetchCounts(ctx context.Context, x *exchanger, addresses []string, key string) (*answer.Counts, error) {
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
		merge(sum.Keys, counts.Keys)
		merge(sum.Requests, counts.Requests)
	}
	return sum, nil
}

func merge(sum, more map[string]int) {
	for name, n := range more {
		sum[name] += n
	}
}

// executions compares what the callers were told with what was executed.
type executions struct {
	doubled int // calls that must not be repeated and ran more than once
	untrue  int // calls that ran although their caller was told that they did not
}

func compare(calls []sent, counts *answer.Counts) executions {
	var e executions
	for _, call := range calls {
		ran := max(counts.Keys[call.key], counts.Requests[call.requestID])
		if ran > 1 {
			e.doubled++
		}
		if ran > 0 && call.refused {
			e.untrue++
		}
	}
	return e
}
