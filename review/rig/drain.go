package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime    = 2 * time.Second      // drain_ms
	stableWindow = 3 * time.Second      // stable_window_ms
	lingers      = 12 * time.Second     // for which the engine serves on after the acknowledgement
	killAfter    = 5 * time.Millisecond // the acknowledgement
)

func init() { cases["drain"] = drained }

// drained lets a model engine leave. Right after the acknowledgement all processes are killed and start again. It checks
// that the engine gets no request later than drain_ms after the acknowledgement.
func drained(r *rig) (bool, error) {
	for n := range 3 {
		e := &engine{id: fmt.Sprintf("i-9e16b79%d", n), service: "huvo11a", slots: 16, queue: 32, conns: 374, work: 20 * time.Millisecond, events: 10, pause: 20 * time.Millisecond}
		if err := r.addEngine(e); err != nil {
			return false, err
		}
	}
	if err := r.fleet.start(); err != nil {
		return false, err
	}
	if err := r.configure("drain.json"); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() { r.stream(n, stop) })
	}
	time.Sleep(6 * time.Second)
	leaver := r.engines[0]
	acknowledged, by, err := leaver.sendLeave()
	if err != nil {
		return false, err
	}
	r.record("the leave of %s is acknowledged by %s", leaver.id, by)
	stable := acknowledged
	if r.trouble {
		time.Sleep(killAfter)
		r.record("all processes are killed")
		if err := r.fleet.killAll(500 * time.Millisecond); err != nil {
			return false, err
		}
		r.record("all processes are started again")
		stable = time.Now().Add(2*stableWindow + 500*time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(lingers)))
	leaver.stop()
	r.record("%s ends", leaver.id)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return r.checkDrained(leaver, acknowledged, stable), r.checkServed()
}

// stream sends one stream after the other until stop is closed.
func (r *rig) stream(n int, stop <-chan struct{}) {
	client := r.newCaller(n)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%04x%012x", n, i)
		fields := map[string]string{
			"X-Model": "m", wire["usage"]: "1460,80", wire["prefix"]: fmt.Sprintf("5c1e07a2:40,%08x:1420", n*100000+i),
		}
		r.send(client, id, call{method: http.MethodPost, path: "/lohu930/2f", body: "prompt " + id, fields: fields, deadline: 10 * time.Second})
		time.Sleep(100 * time.Millisecond)
	}
}

// checkDrained applies the rule DRAIN. Requests count from the time at which all machines are in touch again.
func (r *rig) checkDrained(leaver *engine, acknowledged, stable time.Time) bool {
	var arrivals []arrival
	r.note(func(l *ledger) { arrivals = append(arrivals, l.arrivals[leaver.id]...) })
	late, out := 0, 0
	for _, a := range arrivals {
		switch after := a.at.Sub(acknowledged); {
		case after <= drainTime:
		case a.at.Before(stable):
			out++
		default:
			late++
			if late <= 20 {
				r.record("DRAIN: %s reached %s %.3f s after the acknowledgement", a.id, leaver.id, after.Seconds())
			}
		}
	}
	var l ledger
	r.note(func(now *ledger) { l = *now })
	r.record("%d requests, answers by status %v; %d reached %s later than drain_ms after the acknowledgement, and %d more while machines were not in touch", l.sent, l.counts, late, leaver.id, out)
	return late == 0
}
