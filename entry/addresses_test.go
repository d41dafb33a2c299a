package entry

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"celeryport/control"
	"celeryport/membership"
	"celeryport/settings"
)

func instanceIn(name, zone string, state membership.State) membership.Instance {
	return membership.Instance{Name: name, Address: "addr-" + name, AvailabilityZone: zone, State: state}
}

func addressesOf(list []address) []string {
	var names []string
	for _, a := range list {
		names = append(names, a.Address)
	}
	return names
}

func TestAddressesHandedOut(t *testing.T) {
	// Callers keep the list for a while and connect to its first address. If it
	// named an instance that leaves or is gone, they would meet refused
	// connections; if it named far ones first, every call would cross zones.
	convey.Convey("Given instances in three availability zones", t, func() {
		view := &control.View{
			Tree: &settings.Tree{Fleet: settings.Fleet{KeepSeconds: 7}},
			Instances: []membership.Instance{
				instanceIn("a", "z1", membership.Live),
				instanceIn("b", "z2", membership.Live),
				instanceIn("c", "z2", membership.Live),
				instanceIn("d", "z2", membership.Draining),
				instanceIn("e", "z3", membership.Gone),
			},
		}
		s := &Server{options: Options{Process: &settings.Process{Name: "a", AvailabilityZone: "z1"}}}

		convey.Convey("the zone that is asked for comes first, the others follow", func() {
			list := addressesOf(s.handedOut(view, "z2"))
			convey.So(list, convey.ShouldHaveLength, 3)
			convey.So(list[:2], convey.ShouldContain, "addr-b")
			convey.So(list[:2], convey.ShouldContain, "addr-c")
			convey.So(list[2], convey.ShouldEqual, "addr-a")
		})
		convey.Convey("draining and gone instances are left out", func() {
			list := addressesOf(s.handedOut(view, "z3"))
			convey.So(list, convey.ShouldNotContain, "addr-d")
			convey.So(list, convey.ShouldNotContain, "addr-e")
		})
		convey.Convey("an instance that drains leaves itself out before the others know", func() {
			s.draining.set(phaseLeaving)
			convey.So(addressesOf(s.handedOut(view, "z1")), convey.ShouldNotContain, "addr-a")
		})
		convey.Convey("callers spread over the instances of a zone", func() {
			first := map[string]bool{}
			for range 200 {
				first[s.handedOut(view, "z2")[0].Address] = true
			}
			convey.So(first, convey.ShouldHaveLength, 2)
		})
		convey.Convey("the time to keep the list comes from the settings, or a default", func() {
			convey.So(keepSeconds(view), convey.ShouldEqual, 7)
			convey.So(keepSeconds(nil), convey.ShouldEqual, defaultKeepSeconds)
			convey.So(s.handedOut(nil, "z1"), convey.ShouldBeEmpty)
		})
	})
}
