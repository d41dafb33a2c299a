package standin_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"celeryport/standin"
	"celeryport/standin/answer"
	"celeryport/upstream/client"
	"celeryport/verdict"
)

func startService(n *network, dedupe bool) *standin.Service {
	s := standin.NewService(standin.ServiceOptions{
		Options: standin.Options{
			Name: "gate", Address: "gate", Targets: []string{"floor-gate"}, Incarnation: 7,
			Key: engineKey, UpstreamKey: upstreamKey, Dial: n.dial,
		},
		Latency: 20 * time.Millisecond,
		Dedupe:  dedupe,
	})
	go s.Serve(n.listen("gate"))
	return s
}

func holdCall(id, key string) *client.ServiceCall {
	return &client.ServiceCall{
		Address: "gate", Incarnation: 7, Request: id, Attempt: 1, Path: "/holds", Body: []byte("bolt " + id),
		Remaining: 5 * time.Second, Key: key, MaxAnswer: 1 << 16,
	}
}

// A service executes a call and then fails to answer, or answers wrongly. If the
// client reported "not run", the call would be executed twice; if it accepted a wrong
// answer, the caller would act on the result of another call.
func TestServiceFaultsAsTheClientSeesThem(t *testing.T) {
	for _, test := range []struct {
		fault    standin.Fault
		answered bool // with the right answer
		executed int
		verdict  verdict.Verdict
	}{
		{"", true, 1, verdict.Ran},
		{standin.FaultSlow, true, 1, verdict.Ran},
		{standin.FaultTwice, true, 1, verdict.Ran},
		{standin.FaultRefuse, false, 0, verdict.NotRun},
		{standin.FaultCloseAfterRead, false, 1, verdict.MayHaveRun},
		{standin.FaultNever, false, 1, verdict.MayHaveRun},
		{standin.FaultCloseShort, false, 1, verdict.MayHaveRun},
		{standin.FaultSilent, false, 1, verdict.MayHaveRun},
		{standin.FaultCrossed, false, 1, verdict.MayHaveRun},
		{standin.FaultFreeze, false, 0, verdict.MayHaveRun},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := newNetwork()
				s := startService(n, false)
				defer s.Close()
				if test.fault != "" {
					s.Faults().Set(standin.FaultSwitch{Fault: test.fault, Times: 1, DelayMs: 100})
				}
				c := client.New(n.dial, engineKey, ownerName, client.DefaultTiming)
				got, failed := c.Service(context.Background(), holdCall("r1", "k1"))
				var call answer.Call
				if got != nil {
					json.Unmarshal(got.Body, &call)
				}
				if right := failed == nil && call.Digest == answer.CallDigest([]byte("bolt r1")); right != test.answered {
					t.Fatalf("%+v, %v", got, failed)
				}
				if failed != nil && failed.Verdict != test.verdict {
					t.Errorf("verdict %v: %v", failed.Verdict, failed)
				}
				if got := s.Counts().Keys["k1"]; got != test.executed {
					t.Errorf("executed %d times", got)
				}
			})
		})
	}
}

// The counts of the service reveal a call that was executed twice. With deduplication
// they would hide it, which is why deduplication is off by default.
func TestServiceCountsDoubledCalls(t *testing.T) {
	for _, test := range []struct {
		dedupe bool
		want   int
	}{{false, 2}, {true, 1}} {
		inBubble(t, func(t *testing.T) {
			n := newNetwork()
			s := startService(n, test.dedupe)
			defer s.Close()
			c := client.New(n.dial, engineKey, ownerName, client.DefaultTiming)
			for _, id := range []string{"r1", "r2"} {
				if _, failed := c.Service(context.Background(), holdCall(id, "k1")); failed != nil {
					t.Fatal(failed)
				}
			}
			if got := s.Counts().Keys["k1"]; got != test.want {
				t.Errorf("dedupe %v: executed %d times, want %d", test.dedupe, got, test.want)
			}
		})
	}
}

// A call with a wrong key must not be executed.
func TestServiceChecksKeys(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		n := newNetwork()
		s := startService(n, false)
		defer s.Close()
		c := client.New(n.dial, "wrong", ownerName, client.DefaultTiming)
		_, failed := c.Service(context.Background(), holdCall("r1", "k1"))
		if failed == nil || failed.Verdict != verdict.NotRun || len(s.Counts().Requests) != 0 {
			t.Errorf("%v, counts %v", failed, s.Counts())
		}
	})
}
