package slopes

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/control"
)

const (
	claimTimeout = 5 * time.Second
	claimRounds  = 30 // claims of each concurrent caller
)

var claimLoads = []int{1, 16, 128}

// measureClaims wins claims from an instance that does not vote.
func measureClaims(folder string) ([]Claiming, error) {
	f, err := startFleet(voterCount, smallFleet, filepath.Join(folder, "claims"))
	if err != nil {
		return nil, err
	}
	var all []Claiming
	for _, load := range claimLoads {
		claiming, err := f.claim(load)
		if err != nil {
			return nil, err
		}
		all = append(all, claiming)
	}
	return all, f.close()
}

// claim lets a number of callers win one claim after the other.
func (f *fleet) claim(concurrent int) (Claiming, error) {
	from := f.members[len(f.members)-1]
	var mu sync.Mutex
	var took []time.Duration
	lost := 0
	before := from.bytes()
	start := time.Now()
	var group sync.WaitGroup
	for caller := range concurrent {
		group.Go(func() {
			for i := range claimRounds {
				key := fmt.Sprintf("%d-%d-%d", concurrent, caller, i)
				begun := time.Now()
				won := from.claim(key)
				mu.Lock()
				took = append(took, time.Since(begun))
				if !won {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	seconds := time.Since(start).Seconds()
	if lost > 0 {
		return Claiming{}, errors.Newf("%d of %d claims were not won", lost, len(took))
	}
	return Claiming{
		Concurrent: concurrent,
		PerSecond:  float64(len(took)) / seconds,
		LatencyMs:  quantilesOf(took),
		BytesEach:  float64(from.bytes()-before) / float64(len(took)),
	}, nil
}

// claim wins one key and settles it.
func (m *member) claim(key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	name := claim.Key{Organisation: "aretusa", Key: key}
	holder := claim.Holder{Instance: m.process.Name, Incarnation: 1, Request: key}
	if m.node.Claim(ctx, name, holder).State != control.Won {
		return false
	}
	m.node.Settle(name, holder, claim.Outcome{Kind: claim.Done, Status: 200})
	return true
}
