package consensus

import (
	"testing"
	"time"
)

// FuzzDecodeMessage passes every message that the decoder accepts to a follower
// and to a leader. A malicious message may make a node stop with an error, but
// must not cause a panic, decrease the commit index or replace committed entries.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: PreVoteRequest, From: "v2", To: "v1", Term: 9, Index: 3, LogTerm: 2},
		{Kind: VoteRequest, From: "v2", To: "v1", Term: 9, Index: 30, LogTerm: 8, Force: true},
		{Kind: AppendRequest, From: "v2", To: "v1", Term: 9, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 4, Term: 9}}, Commit: 4},
		{Kind: AppendResponse, From: "v2", To: "v1", Term: 2, Index: 4, Round: 1},
		{Kind: AppendResponse, From: "v3", To: "v1", Term: 2, Index: 1 << 60, Reject: true, Hint: 1 << 61},
		{Kind: SnapshotRequest, From: "v2", To: "v1", Term: 9, Snapshot: &Snapshot{
			Index: 8, Term: 8, Configuration: Configuration{Voters: []Member{{ID: "v1"}}},
		}},
		{Kind: TimeoutNow, From: "v2", To: "v1", Term: 2},
	} {
		data, err := EncodeMessage(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, lead bool) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		m.To = "v1"
		w := newNetwork(t, 1, 3)
		s := w.server("v1")
		w.cut = func(_, _ ID) bool { return true }
		w.now = w.now.Add(5 * time.Second)
		s.node.Tick(s.clock(w.now))
		if lead {
			s.node.campaign(s.clock(w.now), ballotVote)
			s.node.ballot.granted["v2"] = true
			s.node.tallyBallot(s.clock(w.now))
		}
		w.processReady(s)
		before := s.node.Status().Commit
		for range 2 {
			if s.node.Step(s.clock(w.now), m) != nil {
				return
			}
			w.processReady(s)
		}
		s.node.Tick(s.clock(w.now.Add(time.Minute)))
		if after := s.node.Status().Commit; after < before {
			t.Fatalf("commit went from %d to %d", before, after)
		}
	})
}
