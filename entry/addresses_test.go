package entry

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"celeryport/control"
	"celeryport/membership"
	"celeryport/settings"
)

func newInstance(name, zone string, state membership.State) membership.Instance {
	return membership.Instance{Name: name, Address: "addr-" + name, AvailabilityZone: zone, State: state}
}

func addressStrings(list []address) []string {
	var names []string
	for _, a := range list {
		names = append(names, a.Address)
	}
	return names
}

func TestAddressListOmitsUnavailableInstances(t *testing.T) {
	// Callers keep the list for a while and connect to its first address. If it contained
	// a draining or gone instance, their connections would be refused. If it started with
	// instances of other zones, every call would cross zones.
	convey.Convey("Given instances in three availability zones", t, func() {
		view := &control.View{
			Tree: &settings.Tree{Fleet: settings.Fleet{KeepSeconds: 7}},
			Instances: []membership.Instance{
				newInstance("a", "z1", membership.Live),
				newInstance("b", "z2", membership.Live),
				newInstance("c", "z2", membership.Live),
				newInstance("d", "z2", membership.Draining),
				newInstance("e", "z3", membership.Gone),
			},
		}
		s := &Server{options: Options{Process: &settings.Process{Name: "a", AvailabilityZone: "z1"}}}

		convey.Convey("the requested zone comes first, followed by the others", func() {
			list := addressStrings(s.advertisedInstances(view, "z2"))
			convey.So(list, convey.ShouldHaveLength, 3)
			convey.So(list[:2], convey.ShouldContain, "addr-b")
			convey.So(list[:2], convey.ShouldContain, "addr-c")
			convey.So(list[2], convey.ShouldEqual, "addr-a")
		})
		convey.Convey("draining and gone instances are left out", func() {
			list := addressStrings(s.advertisedInstances(view, "z3"))
			convey.So(list, convey.ShouldNotContain, "addr-d")
			convey.So(list, convey.ShouldNotContain, "addr-e")
		})
		convey.Convey("a draining instance leaves itself out before the others have learned of it", func() {
			s.draining.set(phaseDelisted)
			convey.So(addressStrings(s.advertisedInstances(view, "z1")), convey.ShouldNotContain, "addr-a")
		})
		convey.Convey("callers spread over the instances of a zone", func() {
			first := map[string]bool{}
			for range 200 {
				first[s.advertisedInstances(view, "z2")[0].Address] = true
			}
			convey.So(first, convey.ShouldHaveLength, 2)
		})
		convey.Convey("keep_seconds comes from the settings or has a default", func() {
			convey.So(keepSeconds(view), convey.ShouldEqual, 7)
			convey.So(keepSeconds(nil), convey.ShouldEqual, defaultKeepSeconds)
			convey.So(s.advertisedInstances(nil, "z1"), convey.ShouldBeEmpty)
		})
	})
}
