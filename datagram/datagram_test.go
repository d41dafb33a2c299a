package datagram

import "testing"

func TestUnauthenticatedDatagramsAreRejected(t *testing.T) {
	// An attacker who can send to the port, or an instance of another fleet, sends
	// datagrams. If they were accepted, engines would look full and callers would be
	// refused.
	data := Seal("secret", ArbiterRequest, []byte("content"))
	kind, content, err := Open("secret", data)
	if err != nil || kind != ArbiterRequest || string(content) != "content" {
		t.Errorf("opened as %d %q, %v", kind, content, err)
	}
	if _, _, err := Open("other", data); err == nil {
		t.Error("a datagram with another key was accepted")
	}
	for cut := range data {
		if _, _, err := Open("secret", data[:cut]); err == nil {
			t.Errorf("a datagram truncated to %d bytes was accepted", cut)
		}
	}
}
