package claim

import (
	"fmt"
	"testing"
	"time"

	"celeryport/consensus"
)

// BenchmarkVote measures the computation of one voter for one claim and its
// outcome. It includes the encoding of the records but not the sync.
func BenchmarkVote(b *testing.B) {
	cfg := DefaultVoterConfig("a")
	cfg.MaxVotes = 1 << 40
	v, err := NewVoter(cfg, nil)
	if err != nil {
		b.Fatal(err)
	}
	v.Enter(startTime, Epoch{Number: 1, Voters: []consensus.ID{"a"}})
	now, bytes, count := startTime, 0, 0
	b.ReportAllocs()
	for b.Loop() {
		count++
		now = now.Add(time.Millisecond)
		m := Message{
			Kind: VoteRequest, From: "e", To: "a", Epoch: 1, Key: Key{"aretusa", fmt.Sprint("key-", count)},
			Holder: Holder{Instance: "ortigia", Incarnation: 1, Request: fmt.Sprint(count)},
		}
		v.Step(now, m)
		m.Kind, m.Outcome = SettleRequest, Outcome{Kind: Done, Status: 201}
		v.Step(now, m)
		for _, r := range v.Ready().Records {
			data, err := EncodeRecord(r)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
		v.Tick(now)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "disk-bytes/op")
}
