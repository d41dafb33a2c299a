package settings

import "testing"

// Guards against two addresses of one process of which the second is never served, and against
// the refusal of addresses that differ.
func TestAddressesOfAProcessThatCollide(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want bool
	}{
		{"127.0.0.1:80", "127.0.0.1:80", true},
		{"127.0.0.1:80", "127.0.0.1:080", true},
		{"127.0.0.1:80", "[::ffff:127.0.0.1]:80", true},
		{"[::1]:80", "[0:0::1]:80", true},
		{"0.0.0.0:80", "127.0.0.1:80", true},
		{"0.0.0.0:80", "[::]:80", true},
		{"[::]:80", "127.0.0.1:80", true},
		{"0.0.0.0:80", "localhost:80", true},
		{"0.0.0.0:80", "[::1]:80", true},
		{"0.0.0.0:80", "127.0.0.1:81", false},
		{"127.0.0.1:80", "127.0.0.2:80", false},
		{"127.0.0.1:80", "[::1]:80", false},
	} {
		if collide(c.a, c.b) != c.want || collide(c.b, c.a) != c.want {
			t.Errorf("%s and %s collide: %t", c.a, c.b, !c.want)
		}
	}
}
