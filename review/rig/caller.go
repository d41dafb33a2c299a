package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// caller is one client. It asks the directory where to connect, keeps the answer for its time, and leaves out addresses
// that have failed it.
type caller struct {
	rig       *rig
	zone      string
	client    *http.Client
	addresses []string
	until     time.Time
}

func (r *rig) newCaller(n int) *caller {
	return &caller{rig: r, zone: zones[n%len(zones)], client: newClient(12 * time.Second)}
}

// pick returns an address, empty if none is known.
func (c *caller) pick() string {
	if len(c.addresses) == 0 || time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// drop leaves out an address that has failed, until the next answer of the directory.
func (c *caller) drop(address string) {
	c.addresses = slices.DeleteFunc(c.addresses, func(one string) bool { return one == address })
}

// maxTTL is ttl_max_s.
const maxTTL = 5 * time.Second

// resolve asks up to three machines. Without an answer the last one is kept.
func (c *caller) resolve() {
	f := c.rig.fleet
	for _, at := range rand.Perm(len(f.fronts)) {
		url := fmt.Sprintf("http://%s:%d%s?name=%s&region=central-tx&zone=%s", f.fronts[at].ip, f.ports.directory, wire["resolve"], host, c.zone)
		response, err := c.rig.client.Get(url)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read
		answer := map[string]json.RawMessage{}
		var addresses []string
		var seconds float64
		if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil ||
			json.Unmarshal(answer[wire["addresses"]], &addresses) != nil || json.Unmarshal(answer[wire["ttl"]], &seconds) != nil || len(addresses) == 0 {
			continue
		}
		c.addresses, c.until = addresses, time.Now().Add(min(maxTTL, time.Duration(seconds*float64(time.Second))))
		return
	}
}
