package datagram

import "testing"

func TestForeignDatagramsAreRefused(t *testing.T) {
	// Someone who can send to the port, or a fleet with another key, sends
	// datagrams. If they were believed, engines would look full, and callers would
	// be turned away.
	data := Seal("secret", Ask, []byte("content"))
	kind, content, err := Open("secret", data)
	if err != nil || kind != Ask || string(content) != "content" {
		t.Errorf("opened as %d %q, %v", kind, content, err)
	}
	if _, _, err := Open("other", data); err == nil {
		t.Error("a datagram with another key was taken")
	}
	for cut := range data {
		if _, _, err := Open("secret", data[:cut]); err == nil {
			t.Errorf("a datagram cut at %d was taken", cut)
		}
	}
}
