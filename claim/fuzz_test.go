package claim

import (
	"reflect"
	"testing"
	"time"
)

// FuzzDecodeMessage feeds a voter and a claimant whatever the decoder lets
// through. They must not panic, and the wire form must not lose anything.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: VoteRequest, From: "e", To: "a", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}},
		{Kind: VoteResponse, From: "a", To: "e", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}, Answer: Held, Outcome: Outcome{Kind: Done, Answer: []byte("x")}},
		{Kind: SettleRequest, From: "e", To: "a", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}, Outcome: Outcome{Kind: Released}},
		{Kind: CopyRequest, From: "b", To: "a", Epoch: 1, Bucket: 3},
		{Kind: CopyResponse, From: "b", To: "a", Epoch: 2, Complete: 1, Votes: []Vote{{Key: Key{"o", "k"}, At: wallStart}}},
	} {
		data, err := EncodeMessage(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"kind":4,"from":"b","to":"a","bucket":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := EncodeMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := DecodeMessage(again); err != nil || !reflect.DeepEqual(normal(back), normal(m)) {
			t.Fatalf("%+v became %+v: %v", m, back, err)
		}
		w := newNetwork(t, 1, "a", "b", "c")
		w.change("a", "c")
		w.enterAll(w.host("a"))
		c := w.claim("k")
		for range 2 {
			w.host("a").voter.Step(wallStart, m)
			c.claimant.Step(wallStart.Add(time.Second), m)
		}
	})
}

// normal drops the difference between empty and missing, which means nothing.
func normal(m Message) Message {
	if len(m.Votes) == 0 {
		m.Votes = nil
	}
	if len(m.Outcome.Answer) == 0 {
		m.Outcome.Answer = nil
	}
	for i := range m.Votes {
		if len(m.Votes[i].Outcome.Answer) == 0 {
			m.Votes[i].Outcome.Answer = nil
		}
	}
	return m
}
