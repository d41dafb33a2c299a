package control

import (
	"fmt"
	"testing"

	"celeryport/membership"
)

// BenchmarkReceiverAddress measures the choice of the instance that receives an upstream's
// announcements, which a voter makes for each announcement sent to it.
func BenchmarkReceiverAddress(b *testing.B) {
	var instances []membership.Instance
	for i := range 300 {
		instances = append(instances, membership.Instance{
			Name: fmt.Sprint("front-sala-", i), Address: "a", ControlAddress: fmt.Sprintf("10.0.%d.1:7340", i), AvailabilityZone: fmt.Sprint("zone-", i%3),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		receiverAddress(instances, "i-7f3a91c2", "zone-1")
	}
}
