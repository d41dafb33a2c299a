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

func parseAddressList(t *testing.T, text string) *addressList {
	t.Helper()
	var list addressList
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	return &list
}

const twoZones = `{"addresses":[{"address":"s1","availability_zone":"sala"},{"address":"t1","availability_zone":"temple"},
	{"address":"t2","availability_zone":"temple"}],"keep_seconds":5}`

// Addresses fail one after the other. Callers that keep using a failed address, or
// that leave their zone while it still serves, would measure an outage or a delay
// that the system did not cause.
func TestAddressCachePrefersTheCallersZone(t *testing.T) {
	for _, test := range []struct {
		name   string
		failed []string
		want   []string
	}{
		{"all live", nil, []string{"t1", "t2"}},
		{"one of the zone failed", []string{"t1"}, []string{"t2"}},
		{"all of the zone failed", []string{"t1", "t2"}, []string{"s1"}},
		{"all failed, so any may be tried", []string{"t1", "t2", "s1", "first"}, []string{"first", "s1", "t1", "t2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newAddressCache(&httpClient{dial: refuseDials(nil)}, []string{"first"}, "", "temple")
				c.update(time.Now(), parseAddressList(t, twoZones))
				for _, address := range test.failed {
					c.avoidUntil[address] = time.Now().Add(avoidDuration)
				}
				var got []string
				for range 12 {
					address, err := c.pick(context.Background())
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

// refuseDials returns a dialer that refuses all connections and counts them.
func refuseDials(count *int) Dialer {
	return func(context.Context, string) (net.Conn, error) {
		if count != nil {
			*count++
		}
		return nil, syscall.ECONNREFUSED
	}
}

// Instances come and go while the list ages. A caller that never refreshes it would
// be left with dead addresses; one that always refreshes it would add load of its
// own.
func TestAddressCacheRefreshesExpiredAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := newAddressCache(&httpClient{dial: refuseDials(&dials)}, nil, "", "temple")
		c.update(time.Now(), parseAddressList(t, twoZones))
		step := func(after time.Duration, want int) {
			t.Helper()
			time.Sleep(after)
			dials = 0
			if _, err := c.pick(context.Background()); err != nil || dials != want {
				t.Errorf("%d addresses dialled, want %d; %v", dials, want, err)
			}
		}
		step(4*time.Second, 0)
		step(2*time.Second, 3) // keep_seconds have passed; all three are dialled without success
		step(time.Second, 0)   // a failed refresh is not repeated at once
		step(2*time.Second, 3)
		c.update(time.Now(), parseAddressList(t, twoZones))
		c.markFailed("t1")
		step(0, 3) // a failed address makes the list expire early
	})
}
