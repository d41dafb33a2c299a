package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	loadTime     = 70 * time.Second // for which clients send requests
	garbledShare = 0.03             // of the answers of one engine of two
	garbledFor   = 5 * time.Second  // at a time
	garbledPause = 2 * time.Second
)

// garbles reports whether the disruption is on.
func (r *rig) garbles() bool { return time.Since(r.began)%(garbledFor+garbledPause) < garbledFor }

func init() { cases["refused"] = refused }

// refused loads a plain service beyond its places, so that its engines reject requests, while one engine sends some of
// its answers a second time, late. It checks that no request that may not be repeated is answered as not run and has run,
// or runs twice.
func refused(r *rig) (bool, error) {
	for n := range 2 {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", n), service: "wuno96b", slots: 6, queue: 2, conns: 110, work: 15 * time.Millisecond}
		if e.extraOn = r.garbles; n == 0 && r.trouble {
			e.extra = garbledShare
		}
		if err := r.addEngine(e); err != nil {
			return false, err
		}
	}
	if err := r.fleet.start(); err != nil {
		return false, err
	}
	if err := r.configure("refused.json"); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the engines are known everywhere, and the repeat budgets are earned
	var clients sync.WaitGroup
	until := time.Now().Add(loadTime)
	for n := range 36 {
		clients.Go(func() {
			client := r.newCaller(n)
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				r.send(client, id, call{method: http.MethodPost, path: "/puxa403/2f", body: "order " + id, deadline: 1500 * time.Millisecond})
				time.Sleep(26 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // runs that began are noted
	return r.checkRefused(), r.checkServed()
}

// checkRefused applies the rules REFUSED and TWICE to the ledger.
func (r *rig) checkRefused() bool {
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	var l ledger
	r.note(func(now *ledger) { l = *now })
	refusedRan, twice := 0, 0
	again := map[int]int{}
	for _, count := range l.rejections {
		again[count]++
	}
	r.record("requests by their rejections: %v", again)
	for id, runs := range l.runs {
		if slices.Contains(promises, l.answers[id]) {
			refusedRan++
			r.record("REFUSED: %s was answered %d and has run at %v", id, l.answers[id], runs)
		}
		if len(runs) > 1 {
			twice++
			r.record("TWICE: %s has run at %v", id, runs)
		}
	}
	r.record("%d requests, %d rejections of engines, answers by status %v; refused and run %d, run twice %d", l.sent, l.rejected, l.counts, refusedRan, twice)
	return refusedRan+twice == 0
}
