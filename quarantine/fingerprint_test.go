package quarantine

import "testing"

func TestFingerprintDistinguishesRequests(t *testing.T) {
	first := FingerprintOf(ScopeOf("a.example", "/draft/", "atelier"), []byte("measurements"))
	if again := FingerprintOf(ScopeOf("a.example", "/draft/", "atelier"), []byte("measurements")); again != first {
		t.Errorf("the same request is %s and %s", first, again)
	}
	others := map[string]Fingerprint{
		"host":   FingerprintOf(ScopeOf("b.example", "/draft/", "atelier"), []byte("measurements")),
		"path":   FingerprintOf(ScopeOf("a.example", "/draft/2", "atelier"), []byte("measurements")),
		"caller": FingerprintOf(ScopeOf("a.example", "/draft/", "shop"), []byte("measurements")),
		"body":   FingerprintOf(ScopeOf("a.example", "/draft/", "atelier"), []byte("measurement")),
		"parts":  FingerprintOf(ScopeOf("a.example", "/draft", "/atelier"), []byte("measurements")),
	}
	for what, other := range others {
		if other == first {
			t.Errorf("requests that differ in %s share a fingerprint", what)
		}
	}
}

func TestFingerprintIsParsedAsFormatted(t *testing.T) {
	want := FingerprintOf(ScopeOf("a.example", "/draft/", "atelier"), []byte("measurements"))
	if got, err := ParseFingerprint(want.String()); err != nil || got != want {
		t.Errorf("%s is read as %s (%v)", want, got, err)
	}
	for _, text := range []string{"", "12", want.String() + "00", "g" + want.String()[1:]} {
		if got, err := ParseFingerprint(text); err == nil {
			t.Errorf("%q is read as %s", text, got)
		}
	}
}
