package forward

import (
	"bytes"
	"testing"
)

// Guards against holding a long body a second time while it is written, against two packets for a
// short call, and against a body that is changed or lost, as it may be sent again.
func TestLongBodiesAreNotCopied(t *testing.T) {
	head := []byte("POST / HTTP/1.1\r\n\r\n")
	for size, buffers := range map[int]int{0: 1, 10: 1, combinedSize: 2, 1 << 20: 2} {
		body := bytes.Repeat([]byte("x"), size)
		m := message(bytes.Clone(head), body)
		if len(m) != buffers || sizeOf(m) != len(head)+size {
			t.Errorf("body of %d bytes: %d buffers of %d bytes", size, len(m), sizeOf(m))
		}
		if buffers == 2 && len(m) == 2 && &m[1][0] != &body[0] {
			t.Errorf("the body of %d bytes was copied", size)
		}
		var sent bytes.Buffer
		if _, err := m.WriteTo(&sent); err != nil || !bytes.Equal(sent.Bytes(), append(bytes.Clone(head), body...)) {
			t.Errorf("body of %d bytes: sent %d bytes, %v", size, sent.Len(), err)
		}
		if len(body) != size || bytes.ContainsFunc(body, func(r rune) bool { return r != 'x' }) {
			t.Errorf("the body of %d bytes was changed", size)
		}
	}
}
