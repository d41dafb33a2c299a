package instance

import (
	"slices"
	"testing"

	"celeryport/membership"
)

func TestCallersGetAddressesThatWork(t *testing.T) {
	// Instances stop, die and lose their connections. A caller that gets only addresses of
	// such instances has no alternative until it may request the list again.
	in := func(address, zone string, state membership.State) membership.Instance {
		return membership.Instance{Name: address, Address: address, AvailabilityZone: zone, State: state}
	}
	tests := []struct {
		name      string
		instances []membership.Instance
		want      []string
	}{
		{"own zone only", []membership.Instance{in("a", "z1", membership.Live), in("b", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"a", "b"}},
		{"all zones, with one instance in the own zone", []membership.Instance{in("a", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"a", "c"}},
		{"no draining instance", []membership.Instance{in("a", "z1", membership.Draining), in("c", "z2", membership.Live)}, []string{"c"}},
		{"no instance that takes no calls", []membership.Instance{in("", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"c"}},
		{"gone instances, when no instance is live", []membership.Instance{in("a", "z1", membership.Gone), in("c", "z2", membership.Draining)}, []string{"a"}},
		{"none", nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := addressesFor(test.instances, "z1"); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
