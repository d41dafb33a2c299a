package wal

import (
	"bytes"
	"reflect"
	"testing"

	"celeryport/consensus"
)

// FuzzReadSegment reads files as a faulty disk may return them. Encoding the records
// that were read must give a file with the same records, and the offset of a torn
// write must be within the file.
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
		if c.tornOffset > int64(len(data)) || c.tornOffset >= 0 && c.tornOffset < int64(headerSize) {
			t.Fatalf("torn at %d of %d", c.tornOffset, len(data))
		}
		again, err := readSegment("file", appendFrame(segmentHeader(c.marker), c.marker, joinRecords(c.records)), false)
		if err != nil || len(again.records) != len(c.records) {
			t.Fatalf("%d records became %d: %v", len(c.records), len(again.records), err)
		}
	})
}

// FuzzReplay replays records with a valid checksum that were written by another
// version or because of a fault. The entries must stay contiguous for any input.
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
