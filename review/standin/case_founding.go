package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	lossAfter     = 50 * time.Millisecond // from the start of the last process until a core machine is lost
	replacedAfter = 2 * time.Second       // from its loss until an empty one starts at another address
	foundingLimit = 75 * time.Second      // until which a configuration must be acknowledged
	foundingSent  = 20                    // requests after that
)

// caseFounding loses one of the three core machines for good while the whole system starts for the first
// time. An empty one at another address takes its place, and the settings of all processes name it.
// Without the trouble all three stay.
func caseFounding(ctx context.Context, r *record, trouble bool, v *verdict) error {
	f, err := startFleet(r, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	if trouble {
		if err := f.replaceLast(ctx); err != nil {
			return err
		}
	}
	address := f.prefix + "40:8120"
	if _, err := f.startServer("i-1", "-address", address, "-service", "huvo11a", "-events", "10"); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, foundingLimit)
	defer cancel()
	began := time.Now()
	err = f.configure(limited, streamDocument)
	r.log("operator", "configuration in force: %v, after %.1f s", err == nil, time.Since(began).Seconds())
	for _, p := range append(append([]*process(nil), f.cores...), f.fronts...) {
		if !p.running() {
			return fmt.Errorf("%s has ended", p.name)
		}
	}
	if err != nil {
		v.fault(fmt.Sprintf("%v within %s although only one core machine was lost", err, foundingLimit))
	}
	pause(ctx, 5*time.Second)
	c := newClient()
	served := 0
	for at := range foundingSent {
		id, front := fmt.Sprintf("%016x", rand.Uint64()), f.fronts[at%len(f.fronts)]
		a := c.send(ctx, "POST", front.host, "/draft/2f", id, 10*time.Second, prompt(id, 4960, 10), []byte("a draft"))
		r.log("client", "%s sent to %s gets %d, %v", id, front.name, a.status, a.err)
		v.count(a.status == 200 && a.complete, "")
		if a.status == 200 {
			served++
		}
	}
	if served == 0 {
		v.fault("no request is served")
	}
	return nil
}

// replaceLast loses the last core machine for good and replaces it.
func (f *fleet) replaceLast(ctx context.Context) error {
	at := len(f.cores) - 1
	lost := f.cores[at]
	pause(ctx, lossAfter)
	f.record.log("platform", "%s is lost for good", lost.name)
	lost.signal(syscall.SIGKILL)
	pause(ctx, replacedAfter)
	next := &process{name: "core-3", zone: lost.zone, host: f.prefix + "13", role: "core"}
	f.cores[at] = next
	f.record.log("platform", "%s takes its place at %s", next.name, next.host)
	if err := f.start(next, false); err != nil {
		return err
	}
	for _, p := range append(append([]*process(nil), f.cores[:at]...), f.fronts...) {
		if _, err := f.settings(p, false); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	}
	f.record.log("platform", "the settings of all processes name %s, SIGHUP sent", next.name)
	return nil
}
