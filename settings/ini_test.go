package settings

import "testing"

// An operator's key holds characters that INI libraries take for comments or
// quotes. If they were cut off, a shorter key than the operator chose would be
// in force, and the one that was given out would be refused.
func TestValuesStandAsTheyAreWritten(t *testing.T) {
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
			t.Errorf("%s became %s", key, p.InstanceKey)
		}
	}
}
