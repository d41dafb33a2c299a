package wal

import (
	"bytes"
	"reflect"
	"testing"

	"celeryport/consensus"
)

// FuzzReadSegment feeds files as a broken disk may return them. Whatever is
// read must be what was framed: writing it again gives a file with the same
// records, and the place of the cut lies inside the file.
func FuzzReadSegment(f *testing.F) {
	m := marker{1, 2, 3, 4}
	one := appendFrame(segmentHeader(m), m, joinRecords([][]byte{encodeHardState(consensus.HardState{Term: 3, Vote: "v"})}))
	e := entry(1, 3)
	two := appendFrame(one, m, joinRecords([][]byte{encodeEntry(&e), {}}))
	f.Add(one, true)
	f.Add(two, true)
	f.Add(two[:len(two)-3], true)
	f.Add(two[:len(two)-3], false)
	f.Add(append(bytes.Clone(one), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), true)
	f.Fuzz(func(t *testing.T, data []byte, newest bool) {
		c, err := readSegment("file", data, newest)
		if err != nil {
			return
		}
		if c.torn > int64(len(data)) || c.torn >= 0 && c.torn < int64(headerSize) {
			t.Fatalf("cut at %d of %d", c.torn, len(data))
		}
		again, err := readSegment("file", appendFrame(segmentHeader(c.marker), c.marker, joinRecords(c.records)), false)
		if err != nil || len(again.records) != len(c.records) {
			t.Fatalf("%d records became %d: %v", len(c.records), len(again.records), err)
		}
	})
}

// FuzzReplay feeds records that passed the checksum but were written by another
// version or a fault. Entries stay contiguous whatever comes.
func FuzzReplay(f *testing.F) {
	first, second := entry(1, 1), entry(2, 2)
	f.Add(encodeEntry(&first), encodeEntry(&second))
	f.Add(encodeHardState(consensus.HardState{Term: 9, Vote: "v1", Commit: 4}), encodeEntry(&second))
	f.Add([]byte{recordEntry, 0}, []byte{recordHardState, 0x80})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		var s consensus.Storage
		if replay(&s, a) != nil || replay(&s, b) != nil {
			return
		}
		for i, e := range s.Entries {
			if e.Index != s.Entries[0].Index+uint64(i) {
				t.Fatalf("entry %d at place %d", e.Index, i)
			}
			var again consensus.Storage
			if err := replay(&again, encodeEntry(&e)); err != nil || !reflect.DeepEqual(again.Entries[0], e) {
				t.Fatalf("%+v became %+v: %v", e, again.Entries, err)
			}
		}
	})
}
