package load

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func listOf(t *testing.T, text string) *addressList {
	t.Helper()
	var list addressList
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	return &list
}

const twoZones = `{"addresses":[{"address":"s1","availability_zone":"sala"},{"address":"t1","availability_zone":"temple"},
	{"address":"t2","availability_zone":"temple"}],"keep_seconds":5}`

// Addresses die one after the other. Callers that stay with a dead one, or that
// cross zones while their own still serves, see an outage or a delay that the
// system did not cause.
func TestAddressBookPrefersTheOwnZone(t *testing.T) {
	for _, test := range []struct {
		name   string
		failed []string
		want   []string
	}{
		{"all live", nil, []string{"t1", "t2"}},
		{"one of the zone failed", []string{"t1"}, []string{"t2"}},
		{"the zone failed", []string{"t1", "t2"}, []string{"s1"}},
		{"all failed, but something has to be tried", []string{"t1", "t2", "s1", "first"}, []string{"first", "s1", "t1", "t2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newAddressBook(&exchanger{dial: refuse(nil)}, []string{"first"}, "", "temple")
				b.install(time.Now(), listOf(t, twoZones))
				for _, address := range test.failed {
					b.avoid[address] = time.Now().Add(avoidFor)
				}
				var got []string
				for range 12 {
					address, err := b.pick(context.Background())
					if err != nil {
						t.Fatal(err)
					}
					got = append(got, address)
				}
				slices.Sort(got)
				if got = slices.Compact(got); !slices.Equal(got, test.want) {
					t.Errorf("uses %v, want %v", got, test.want)
				}
			})
		})
	}
}

// refuse counts dials and refuses them.
func refuse(count *int) Dialer {
	return func(context.Context, string) (net.Conn, error) {
		if count != nil {
			*count++
		}
		return nil, syscall.ECONNREFUSED
	}
}

// The list grows old while instances come and go. A caller that never asked
// again would end up with dead addresses only; one that always asks would be a
// load of its own.
func TestAddressBookAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asks := 0
		b := newAddressBook(&exchanger{dial: refuse(&asks)}, nil, "", "temple")
		b.install(time.Now(), listOf(t, twoZones))
		step := func(after time.Duration, want int) {
			t.Helper()
			time.Sleep(after)
			asks = 0
			if _, err := b.pick(context.Background()); err != nil || asks != want {
				t.Errorf("%d addresses asked, want %d; %v", asks, want, err)
			}
		}
		step(4*time.Second, 0)
		step(2*time.Second, 3) // keep_seconds are over; all three are asked in vain
		step(time.Second, 0)   // and not again at once
		step(2*time.Second, 3)
		b.install(time.Now(), listOf(t, twoZones))
		b.failed("t1")
		step(0, 3) // an address failed, so the list is old whatever its age
	})
}
