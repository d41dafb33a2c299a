package transit

import (
	"fmt"
	"testing"
	"time"

	"celeryport/membership"
)

var now = time.Unix(1000, 0)

func fleet(zones, each int) []membership.Instance {
	var list []membership.Instance
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("z%d-%d", z, i)
			list = append(list, membership.Instance{Name: name, AvailabilityZone: fmt.Sprint("z", z), Address: name, ControlAddress: name})
		}
	}
	return append(list, membership.Instance{Name: "voter", AvailabilityZone: "z0", ControlAddress: "voter"})
}

// Guards against calls that find no instance because most of a zone, or all of it, is cut off too.
func TestCallFindsAPeerWhateverPartOfAZoneIsCutOff(t *testing.T) {
	instances := fleet(3, 5)
	for cut := range 5 {
		reaches := func(name string) bool { return name[:2] != "z0" || name[3]-'0' > byte(cut) }
		for draw := range 20 {
			p := NewPeers("z0-0", "z0")
			var tried []string
			for {
				peer := p.Choose(now, instances, tried, float64(draw)/20)
				if peer == nil {
					t.Fatalf("%d of 5 instances cut off: no peer after %v", cut+1, tried)
				}
				if peer.Name == "z0-0" || peer.Name == "voter" {
					t.Fatalf("%s was asked", peer.Name)
				}
				if reaches(peer.Name) {
					break
				}
				tried = append(tried, peer.Name)
				p.Decline(now, peer.Name)
			}
		}
	}
}

// Guards against traffic between zones while an instance of the own zone can handle the call, and
// against one peer that handles all calls.
func TestCallsAreSpreadOverTheOwnZone(t *testing.T) {
	instances := fleet(3, 5)
	p := NewPeers("z0-0", "z0")
	chosen := map[string]int{}
	for draw := range 400 {
		peer := p.Choose(now, instances, nil, float64(draw)/400)
		if peer.AvailabilityZone != "z0" {
			t.Fatalf("a call goes to %s", peer.Name)
		}
		chosen[peer.Name]++
	}
	for name, calls := range chosen {
		if len(chosen) != 4 || calls != 100 {
			t.Errorf("%s handles %d of 400 calls, of %d instances", name, calls, len(chosen))
		}
	}
}

// Guards against asking instances that stop or can't handle calls, and against never asking one again.
func TestPeersThatDeclinedAreSkippedForAWhile(t *testing.T) {
	instances := fleet(1, 3)
	instances[2].State = membership.Draining
	p := NewPeers("z0-0", "z0")
	if peer := p.Choose(now, instances, nil, 0.99); peer == nil || peer.Name != "z0-1" {
		t.Fatalf("%v was chosen", peer)
	}
	p.Decline(now, "z0-1")
	if peer := p.Choose(now.Add(DeclinedFor-1), instances, nil, 0); peer != nil {
		t.Errorf("%s was asked again at once", peer.Name)
	}
	if peer := p.Choose(now.Add(DeclinedFor), instances, nil, 0); peer == nil {
		t.Error("a peer is never asked again")
	}
	if p.Exist(instances[:1]) || p.Exist(instances[2:]) || !p.Exist(instances) {
		t.Error("wrong statement whether there are peers")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			instances := fleet(5, size/5)
			p := NewPeers("z0-0", "z0")
			for b.Loop() {
				p.Choose(now, instances, nil, 0.5)
			}
		})
	}
}
