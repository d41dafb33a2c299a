package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// Operators apply large trees. Each is in the log and in memory, so a log that is
// compacted only after a number of changes would exhaust the instance's memory.
func TestLogOfLargeChangesIsCompacted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0)
	base := uint64(0)
	for i := range 6 {
		text := append(testTree(i), bytes.Repeat([]byte("; a long remark\n"), 150_000)...)
		base = f.apply(base, fmt.Sprint("large", i), text).Revision
	}
	var size int64
	err := f.members[0].node.do(t.Context(), func(time.Time) { size = f.members[0].node.core.group.log.Size() })
	if err != nil || size > compactBytes {
		t.Fatalf("the log holds %d bytes: %v", size, err)
	}
}
