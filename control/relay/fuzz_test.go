package relay

import (
	"testing"

	"celeryport/upstream"
)

func FuzzReceiverApply(f *testing.F) {
	// An instance of a faulty or newer version sends a malformed delta. The receiver must
	// reject it without a panic, which would end the whole instance.
	s := NewSender()
	for second := range 2 {
		changes := []upstream.Relayed{{Announcement: announcement(1, second)}, {Announcement: announcement(2, second)}}
		if err := s.Add(testStart, changes); err != nil {
			f.Fatal(err)
		}
	}
	for _, position := range []uint64{0, 1} {
		delta, err := s.Since(testStart, position)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(delta)
	}
	f.Fuzz(func(t *testing.T, delta []byte) {
		r := NewReceiver()
		full, err := s.Since(testStart, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.Apply(full, 0); err != nil {
			t.Fatal(err)
		}
		relayed, err := r.Apply(delta, 0)
		if err != nil && relayed != nil {
			t.Fatal("a rejected delta returned upstreams")
		}
	})
}
