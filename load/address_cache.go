package load

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pathAddresses is the path at which entry instances publish the addresses to use.
const pathAddresses = "/v1/addresses"

// addressList is the response body of GET /v1/addresses.
type addressList struct {
	Addresses []struct {
		Address          string `json:"address"`
		AvailabilityZone string `json:"availability_zone"`
	} `json:"addresses"`
	KeepSeconds float64 `json:"keep_seconds"`
}

// ErrNoAddress is returned if no entry instance answered a request for addresses.
var ErrNoAddress = errors.New("no entry instance answers")

// addressCache caches the addresses of the entry instances for the callers of one
// organisation. It refreshes the list when it expires or an address fails.
type addressCache struct {
	httpClient *httpClient
	key        string
	zone       string
	initial    []string // addresses given on the command line

	mu         sync.Mutex
	sameZone   []string // addresses in the callers' availability zone
	otherZones []string
	expires    time.Time
	nextIndex  int
	avoidUntil map[string]time.Time // failed addresses, with the time until which to avoid them
	refreshing bool
}

// avoidDuration is how long a failed address is avoided while others are available.
const avoidDuration = 2 * time.Second

func newAddressCache(x *httpClient, to []string, key, zone string) *addressCache {
	return &addressCache{httpClient: x, initial: to, key: key, zone: zone, avoidUntil: map[string]time.Time{}}
}

// pick returns the address to use next. Requests are spread over the addresses in
// the callers' zone; other zones are used only if all of those failed recently.
func (c *addressCache) pick(ctx context.Context) (string, error) {
	if c.startRefresh() {
		c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, group := range [][]string{c.sameZone, c.otherZones, c.initial} {
		if address := c.nextAvailable(now, group); address != "" {
			return address, nil
		}
	}
	// All addresses failed recently, so one of them has to be tried regardless.
	if known := slices.Concat(c.sameZone, c.otherZones, c.initial); len(known) > 0 {
		c.nextIndex++
		return known[c.nextIndex%len(known)], nil
	}
	return "", ErrNoAddress
}

func (c *addressCache) nextAvailable(now time.Time, group []string) string {
	for range group {
		c.nextIndex++
		address := group[c.nextIndex%len(group)]
		if now.After(c.avoidUntil[address]) {
			return address
		}
	}
	return ""
}

// startRefresh reports whether the caller has to refresh the list, and if so marks
// a refresh as running: only one caller refreshes at a time.
func (c *addressCache) startRefresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshing || time.Now().Before(c.expires) {
		return false
	}
	c.refreshing = true
	return true
}

// markFailed records that the address refused a connection or all work, and makes
// the list expire.
func (c *addressCache) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
	c.expires = time.Time{}
}

// refresh requests the list from the known instances, one after the other, until
// one answers.
func (c *addressCache) refresh(ctx context.Context) {
	c.mu.Lock()
	known := slices.Concat(c.sameZone, c.otherZones, c.initial)
	now := time.Now()
	slices.SortStableFunc(known, func(x, y string) int { return c.avoidUntil[x].Compare(c.avoidUntil[y]) })
	c.mu.Unlock()
	list, err := c.fetchAny(ctx, known)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	if err != nil {
		c.expires = now.Add(avoidDuration)
		return
	}
	c.update(now, list)
}

func (c *addressCache) fetchAny(ctx context.Context, known []string) (*addressList, error) {
	for _, address := range known {
		list, err := c.fetch(ctx, address)
		if err == nil && len(list.Addresses) > 0 {
			return list, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, ErrNoAddress
}

func (c *addressCache) fetch(ctx context.Context, address string) (*addressList, error) {
	body, err := c.httpClient.get(ctx, address, pathAddresses, c.key)
	if err != nil {
		return nil, err
	}
	var list addressList
	return &list, errors.Wrap(json.Unmarshal(body, &list), "decode the addresses")
}

// minTTL is the minimum lifetime of a list, whatever keep_seconds it contains. It
// bounds the rate of refreshes.
const minTTL = 500 * time.Millisecond

func (c *addressCache) update(now time.Time, list *addressList) {
	c.sameZone, c.otherZones = nil, nil
	for _, one := range list.Addresses {
		if one.AvailabilityZone == c.zone || c.zone == "" {
			c.sameZone = append(c.sameZone, one.Address)
		} else {
			c.otherZones = append(c.otherZones, one.Address)
		}
	}
	ttl := time.Duration(list.KeepSeconds * float64(time.Second))
	c.expires = now.Add(max(minTTL, ttl))
}
