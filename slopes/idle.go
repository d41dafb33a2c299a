package slopes

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"time"

	"celeryport/upstream"
)

const (
	smallFleet = 8
	voterCount = 3
	window     = 4 * time.Second // long against the intervals of control
	settleTime = 3 * time.Second // after the start, before the window: by then every upstream is known
	announcers = 2               // instances that each upstream announces itself to
)

// measureIdle runs a fleet at rest with a number of upstreams that announce
// themselves every second, and measures one window of it.
func measureIdle(instances, upstreams int, folder string) (Idle, error) {
	before := heapBytes()
	f, err := startFleet(voterCount, instances, filepath.Join(folder, fmt.Sprintf("idle-%d-%d", instances, upstreams)))
	if err != nil {
		return Idle{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range upstreams {
		go f.announce(ctx, i, upstreams)
	}
	pause(settleTime)
	idle, err := f.measure(upstreams)
	if err != nil {
		return Idle{}, err
	}
	idle.HeapPerInstance = max(0, float64(heapBytes())-float64(before)) / float64(instances)
	cancel()
	return idle, f.close()
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// announce plays one upstream. Upstreams start spread over the second.
func (f *fleet) announce(ctx context.Context, number, of int) {
	pause(time.Second * time.Duration(number) / time.Duration(of))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	a := upstream.Announcement{
		Name: fmt.Sprintf("engine-%04d", number), Incarnation: 1, Address: fmt.Sprintf("127.0.%d.%d:1", number/250, 1+number%250),
		Kind: upstream.Engine, Targets: []string{"modello-sarto"}, Version: "v1",
		AvailabilityZone: "sala-ortigia", MemoryTokens: 400_000, Slots: 64,
	}
	for {
		a.Sequence++
		a.Load = upstream.Load{Running: int(a.Sequence % 50), QueuedPrefill: int(a.Sequence * 997 % 90_000), PrefillRate: 12_000 + float64(a.Sequence*31%400), DecodeRate: 41.2}
		for i := range announcers {
			f.members[(number+i*len(f.members)/announcers)%len(f.members)].node.Announce(a)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// measure takes one window of a running fleet.
func (f *fleet) measure(upstreams int) (Idle, error) {
	leader, err := f.leader()
	if err != nil {
		return Idle{}, err
	}
	before, beforeEach := f.usage(), f.each()
	pause(window)
	after, afterEach := f.usage(), f.each()
	seconds := after.at.Sub(before.at).Seconds()
	idle := Idle{
		Instances: len(f.members), Voters: f.voters, Upstreams: upstreams, Seconds: seconds,
		LeaderBytes:       float64(after.bytes-before.bytes) / seconds,
		LeaderCalls:       float64(after.calls-before.calls) / seconds,
		CPUPerInstance:    (after.cpu - before.cpu).Seconds() / seconds / float64(len(f.members)),
		GoroutinesPerNode: float64(runtime.NumGoroutine()) / float64(len(f.members)),
	}
	others := float64(len(f.members) - f.voters)
	for i, m := range f.members {
		bytes := float64(afterEach[i].bytes-beforeEach[i].bytes) / seconds
		switch {
		case i >= f.voters:
			idle.InstanceBytes += bytes / others
			idle.InstanceCalls += float64(afterEach[i].calls-beforeEach[i].calls) / seconds / others
		case m != leader:
			idle.FollowerBytes += bytes / float64(f.voters-1)
		}
	}
	return idle, nil
}

// each returns the traffic of each node.
func (f *fleet) each() []usage {
	all := make([]usage, len(f.members))
	for i, m := range f.members {
		all[i] = usage{calls: m.node.Traffic().Calls.Load(), bytes: m.bytes()}
	}
	return all
}
