package arbiter

import (
	"fmt"
	"testing"
	"time"

	"celeryport/fairshare"
	"celeryport/loadshare"
	"celeryport/quota"
)

// BenchmarkStepWithShares measures one step of the arbiter with 100 waiting prompts of 20 limited
// organisations at 600 busy engines.
func BenchmarkStepWithShares(b *testing.B) {
	w := &fakeFleets{engines: 600, loads: map[loadshare.Key]loadshare.Load{}}
	for key := loadshare.Key(1); key <= 600; key++ {
		w.loads[key] = loadshare.Load{Leading: 1, PrefillTime: time.Second}
	}
	for name, shares := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			ledger, queue := fairshare.NewLedger(), NewQueue()
			if shares {
				queue.UseShares(ledger)
			}
			var grants []quota.Grant
			for n := range 100 {
				r := newRequest(fmt.Sprintf("%03d", n), 150_000+n)
				r.Organisation = fmt.Sprint(n % 20)
				ledger.Watch(start, r.Organisation, 1)
				queue.Accept(start, r)
				grants = append(grants, quota.Grant{Organisation: r.Organisation, Lease: quota.DefaultLease, FleetDemand: 9e6, FleetServed: 2e6, FleetShare: 1e6, FleetUsage: float64(n)})
			}
			ledger.Apply(start, grants)
			b.ReportAllocs()
			for b.Loop() {
				queue.Step(start, w)
			}
		})
	}
}
