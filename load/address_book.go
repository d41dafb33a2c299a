package load

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pathAddresses is where entry instances tell which addresses to use.
const pathAddresses = "/v1/addresses"

// addressList is the answer of GET /v1/addresses.
type addressList struct {
	Addresses []struct {
		Address          string `json:"address"`
		AvailabilityZone string `json:"availability_zone"`
	} `json:"addresses"`
	KeepSeconds float64 `json:"keep_seconds"`
}

// ErrNoAddress means that no entry instance could be asked for addresses.
var ErrNoAddress = errors.New("no entry instance answers")

// addressBook is what the callers of one organisation know of the entry
// instances. It asks them again when its answer grew old or an address failed.
type addressBook struct {
	exchanger *exchanger
	key       string
	zone      string
	first     []string // addresses from the command line

	mu     sync.Mutex
	own    []string // of the own availability zone
	other  []string
	until  time.Time
	turn   int
	avoid  map[string]time.Time // addresses that failed, until when
	asking bool
}

// avoidFor is how long a failed address is avoided while others are left.
const avoidFor = 2 * time.Second

func newAddressBook(x *exchanger, to []string, key, zone string) *addressBook {
	return &addressBook{exchanger: x, first: to, key: key, zone: zone, avoid: map[string]time.Time{}}
}

// pick returns the address to use next. Calls spread over the addresses of the
// own zone, then over the others.
func (b *addressBook) pick(ctx context.Context) (string, error) {
	if b.due() {
		b.ask(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, group := range [][]string{b.own, b.other, b.first} {
		if address := b.turnOf(now, group); address != "" {
			return address, nil
		}
	}
	// All failed lately: one of them has to be tried all the same.
	if known := slices.Concat(b.own, b.other, b.first); len(known) > 0 {
		b.turn++
		return known[b.turn%len(known)], nil
	}
	return "", ErrNoAddress
}

func (b *addressBook) turnOf(now time.Time, group []string) string {
	for range group {
		b.turn++
		address := group[b.turn%len(group)]
		if now.After(b.avoid[address]) {
			return address
		}
	}
	return ""
}

// due reports whether this caller has to ask for addresses; one asks at a time.
func (b *addressBook) due() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asking || time.Now().Before(b.until) {
		return false
	}
	b.asking = true
	return true
}

// failed says that the address refused a connection or all work, and that the
// addresses have to be asked for again.
func (b *addressBook) failed(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoid[address] = time.Now().Add(avoidFor)
	b.until = time.Time{}
}

// ask asks known instances until one answers.
func (b *addressBook) ask(ctx context.Context) {
	b.mu.Lock()
	known := slices.Concat(b.own, b.other, b.first)
	now := time.Now()
	slices.SortStableFunc(known, func(x, y string) int { return b.avoid[x].Compare(b.avoid[y]) })
	b.mu.Unlock()
	list, err := b.askAny(ctx, known)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asking = false
	if err != nil {
		b.until = now.Add(avoidFor)
		return
	}
	b.install(now, list)
}

func (b *addressBook) askAny(ctx context.Context, known []string) (*addressList, error) {
	for _, address := range known {
		list, err := b.askOne(ctx, address)
		if err == nil && len(list.Addresses) > 0 {
			return list, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, ErrNoAddress
}

func (b *addressBook) askOne(ctx context.Context, address string) (*addressList, error) {
	body, err := b.exchanger.get(ctx, address, pathAddresses, b.key)
	if err != nil {
		return nil, err
	}
	var list addressList
	return &list, errors.Wrap(json.Unmarshal(body, &list), "decode the addresses")
}

// leastKeep bounds how often a caller asks, whatever the answer says.
const leastKeep = 500 * time.Millisecond

func (b *addressBook) install(now time.Time, list *addressList) {
	b.own, b.other = nil, nil
	for _, one := range list.Addresses {
		if one.AvailabilityZone == b.zone || b.zone == "" {
			b.own = append(b.own, one.Address)
		} else {
			b.other = append(b.other, one.Address)
		}
	}
	keep := time.Duration(list.KeepSeconds * float64(time.Second))
	b.until = now.Add(max(leastKeep, keep))
}
