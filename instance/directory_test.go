package instance

import (
	"slices"
	"testing"

	"celeryport/membership"
)

func TestCallersGetAddressesThatWork(t *testing.T) {
	// Instances stop, die and are cut off. A caller who gets only addresses of such
	// instances has nowhere to go until it may ask again.
	in := func(address, zone string, state membership.State) membership.Instance {
		return membership.Instance{Name: address, Address: address, AvailabilityZone: zone, State: state}
	}
	tests := []struct {
		name      string
		instances []membership.Instance
		want      []string
	}{
		{"those nearby", []membership.Instance{in("a", "z1", membership.Live), in("b", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"a", "b"}},
		{"all, with one nearby", []membership.Instance{in("a", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"a", "c"}},
		{"none that leaves", []membership.Instance{in("a", "z1", membership.Draining), in("c", "z2", membership.Live)}, []string{"c"}},
		{"none that takes no calls", []membership.Instance{in("", "z1", membership.Live), in("c", "z2", membership.Live)}, []string{"c"}},
		{"the last known, when all are missed", []membership.Instance{in("a", "z1", membership.Gone), in("c", "z2", membership.Draining)}, []string{"a"}},
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
