package claim

import (
	"reflect"
	"testing"
	"time"
)

// FuzzDecodeMessage passes every message that the decoder accepts to a voter and a
// claimant. They must not panic, and encoding the message again must not lose data.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: VoteRequest, From: "e", To: "a", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}},
		{Kind: VoteResponse, From: "a", To: "e", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}, Answer: Held, Outcome: Outcome{Kind: Done, Answer: []byte("x")}},
		{Kind: SettleRequest, From: "e", To: "a", Epoch: 1, Key: Key{"o", "k"}, Holder: Holder{Instance: "e", Request: "1"}, Outcome: Outcome{Kind: Released}},
		{Kind: CopyRequest, From: "b", To: "a", Epoch: 1, Bucket: 3},
		{Kind: CopyResponse, From: "b", To: "a", Epoch: 2, Complete: 1, Votes: []Vote{{Key: Key{"o", "k"}, At: startTime}}},
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
		if back, err := DecodeMessage(again); err != nil || !reflect.DeepEqual(normalise(back), normalise(m)) {
			t.Fatalf("%+v became %+v: %v", m, back, err)
		}
		w := newNetwork(t, 1, "a", "b", "c")
		w.changeVoters("a", "c")
		w.enterAll(w.host("a"))
		c := w.claim("k")
		for range 2 {
			w.host("a").voter.Step(startTime, m)
			c.claimant.Step(startTime.Add(time.Second), m)
		}
	})
}

// normalise removes the difference between empty and missing fields, which has no
// meaning.
func normalise(m Message) Message {
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
