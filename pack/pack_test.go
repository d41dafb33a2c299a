package pack

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func TestPackedTextsAreRestored(t *testing.T) {
	var long strings.Builder
	for i := range 1600 {
		fmt.Fprintf(&long, `{"name":"r-%07x","host":"h.example","place":"/p%d/","kind":"stream","timeout_ms":10000}`, i*7919, i)
	}
	for _, text := range []string{"", "a", "[class]\n", long.String()} {
		packed, err := Text([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		back, err := Unpack(packed)
		if err != nil || !bytes.Equal(back, []byte(text)) {
			t.Errorf("%d bytes were unpacked to %d (%v)", len(text), len(back), err)
		}
		if len(text) > 1000 && len(packed)*5 > len(text) {
			t.Errorf("%d bytes were packed to %d", len(text), len(packed))
		}
	}
}

func TestUnpackedTextsAreReturnedUnchanged(t *testing.T) {
	// Logs of earlier versions contain texts that are not packed.
	for _, text := range []string{"", "[class]\n", "{"} {
		if back, err := Unpack([]byte(text)); err != nil || string(back) != text {
			t.Errorf("%q was unpacked to %q (%v)", text, back, err)
		}
	}
}

func TestTruncatedTextIsRejected(t *testing.T) {
	packed, err := Text(bytes.Repeat([]byte("abc"), 1000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed[:len(packed)/2]); err == nil {
		t.Error("a truncated packed text was accepted")
	}
}
