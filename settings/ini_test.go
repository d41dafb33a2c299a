package settings

import "testing"

// Guards against keys with characters that INI libraries treat as comments or
// quotes. If they were stripped, a shorter key would be in force and the key that
// the operator distributed would be rejected.
func TestValuesAreReadLiterally(t *testing.T) {
	const head = "[process]\nname = one\navailability_zone = zone\n[listen]\naddress = 127.0.0.1:1\n" +
		"[control]\naddress = 127.0.0.1:2\n[voters]\none = 127.0.0.1:2\n"
	for _, key := range []string{
		"example;only#instance-key", `"example-only-key"`, "'example-only-key'",
		"example-only=key:with:marks", `example-only-\n-key\`, "%(name)s-example-only",
	} {
		text := head + "[keys]\ninstance = " + key + " ; a comment\noperators = example-only-operator\n" +
			"upstreams = example-only-upstream\nengine = example-only-engine\n"
		p, err := ParseProcess("one.ini", []byte(text))
		if err != nil {
			t.Errorf("%s: %v", key, err)
			continue
		}
		if p.InstanceKey != key {
			t.Errorf("key %s was read as %s", key, p.InstanceKey)
		}
	}
}
