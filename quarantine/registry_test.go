package quarantine

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0).UTC()

func request(n uint64) Fingerprint { return Fingerprint{Scope: 1, Body: n} }

// ended returns evidence that an upstream ended after it had started to run a
// request.
func ended(body, upstream uint64) Evidence {
	return Evidence{Request: request(body), Outcome: EndedStarted, Upstream: upstream}
}

func waiting(body, upstream uint64) Evidence {
	return Evidence{Request: request(body), Outcome: EndedWaiting, Upstream: upstream}
}

func take(evidence ...Evidence) *Registry {
	b := &Registry{}
	for i, e := range evidence {
		b.AddEvidence(start, uint64(i+1), &FleetLimits, []Evidence{e})
	}
	return b
}

// Guards against sending a request to a fourth engine after it crashed three.
func TestThirdCrashQuarantines(t *testing.T) {
	b := take(ended(7, 1), ended(7, 2))
	if b.Quarantined(request(7)) || b.Version != 0 {
		t.Error("quarantined after two crashes")
	}
	b.AddEvidence(start, 3, &FleetLimits, []Evidence{ended(7, 3)})
	if !b.Quarantined(request(7)) || b.Version != 3 || !b.List().Contains(request(7)) {
		t.Errorf("not quarantined after three crashes: %+v", b)
	}
}

// Guards against counting one crash twice after two attempts at one engine or a
// repeated report.
func TestOneCrashCountsOnce(t *testing.T) {
	b := take(ended(7, 1), ended(7, 1), waiting(7, 1), ended(7, 2), ended(7, 2))
	if b.Quarantined(request(7)) {
		t.Errorf("two crashes are recorded as %+v", b.Records)
	}
}

// Guards against rejecting requests that were only queued on an engine that
// another request crashed.
func TestQueueingOnACrashedEngineIsWeakEvidence(t *testing.T) {
	b := take(waiting(7, 1), waiting(7, 2), waiting(7, 3), waiting(7, 4))
	if b.Quarantined(request(7)) {
		t.Error("a request that was only queued is quarantined")
	}
	b.AddEvidence(start, 5, &FleetLimits, []Evidence{waiting(7, 5)})
	if !b.Quarantined(request(7)) {
		t.Error("a request that crashes engines before they start to answer is not quarantined")
	}
}

// Guards against rejecting a request that engines answer because engines crash
// while it runs.
func TestAnswerClearsARequest(t *testing.T) {
	b := take(ended(7, 1), ended(7, 2), Evidence{Request: request(7), Outcome: Answered}, ended(7, 3))
	if b.Quarantined(request(7)) {
		t.Error("crashes before an answer are counted")
	}
	b = take(ended(7, 1), ended(7, 2), ended(7, 3))
	b.AddEvidence(start, 9, &FleetLimits, []Evidence{{Request: request(7), Outcome: Answered}})
	if b.Quarantined(request(7)) || b.Version != 9 {
		t.Errorf("an answer did not end the quarantine: %+v", b)
	}
}

// Guards against state that grows without bound, and against requests that are
// rejected permanently.
func TestEvidenceExpiresAndIsBounded(t *testing.T) {
	b := take(ended(7, 1), ended(7, 2), ended(7, 3), ended(8, 1))
	b.Expire(start.Add(FleetLimits.Suspected), 5, &FleetLimits)
	if b.Known(request(8)) || !b.Quarantined(request(7)) {
		t.Errorf("records after %s: %+v", FleetLimits.Suspected, b.Records)
	}
	b.Expire(start.Add(FleetLimits.Retention), 6, &FleetLimits)
	if len(b.Records) != 0 || b.Version != 6 {
		t.Errorf("records after %s: %+v", FleetLimits.Retention, b)
	}
	b = take(ended(7, 1), ended(7, 2), ended(7, 3))
	for n := range 2 * FleetLimits.Records {
		b.AddEvidence(start, uint64(n+4), &FleetLimits, []Evidence{ended(uint64(100+n), 1)})
	}
	if len(b.Records) != FleetLimits.Records || !b.Quarantined(request(7)) {
		t.Errorf("%d records; quarantined request kept: %t", len(b.Records), b.Quarantined(request(7)))
	}
}

// Guards against instances that disagree on the quarantined requests after a
// restart from a snapshot, and against a version that does not reflect a
// change.
func TestRegistriesAgree(t *testing.T) {
	limits := Limits{Started: 3, Any: 5, Suspected: 5 * time.Second, Retention: 20 * time.Second, Records: 4}
	rapid.Check(t, func(t *rapid.T) {
		a, b := &Registry{}, &Registry{}
		now := start
		for position := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before, version := a.List(), a.Version
			e := Evidence{
				Request:  request(rapid.Uint64Range(1, 6).Draw(t, "request")),
				Outcome:  Outcome(rapid.IntRange(0, int(Answered)).Draw(t, "outcome")),
				Upstream: rapid.Uint64Range(1, 8).Draw(t, "upstream"),
			}
			for _, registry := range []*Registry{a, b} {
				registry.Expire(now, position+1, &limits)
				registry.AddEvidence(now, position+1, &limits, []Evidence{e, e})
			}
			if after := a.List(); a.Version == version && !reflect.DeepEqual(before.requests, after.requests) {
				t.Fatalf("the list changed from %v to %v without a new version", before.requests, after.requests)
			}
			data, err := json.Marshal(b)
			if err != nil {
				t.Fatal(err)
			}
			b = &Registry{}
			if err := json.Unmarshal(data, b); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(a.List(), b.List()) || len(a.Records) > limits.Records {
				t.Fatalf("%+v and %+v differ", a, b)
			}
		}
	})
}

func TestListIsDecodedAsEncoded(t *testing.T) {
	want := NewList(9, []Fingerprint{request(1), request(2)}, []PartGroup{{3, 4}}, []Part{5})
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got List
	if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(&got, want) {
		t.Errorf("%s is read as %+v (%v)", data, got, err)
	}
	var none *List
	if none.Contains(request(1)) || none.Version() != 0 || none.Size() != 0 {
		t.Error("a nil list is not empty")
	}
}

// Guards against a Recent that evicts frequently repeated requests, or that
// grows.
func TestRecentEvictsTheOldest(t *testing.T) {
	r := NewRecent(4)
	for n := range uint64(10) {
		r.Add(request(n))
		r.Add(request(n))
	}
	for n := range uint64(10) {
		if got := r.Contains(request(n)); got != (n >= 6) {
			t.Errorf("Contains(%d) = %t", n, got)
		}
	}
	if len(r.occurrences) != 4 {
		t.Errorf("%d requests are kept", len(r.occurrences))
	}
}

// Guards against rejecting requests that ran beside several others that crash
// their engines.
func TestCrashesOfAKnownCauseAreWeakEvidence(t *testing.T) {
	const first, second, beside = 1, 2, 3
	b := take(
		ended(first, 11), ended(first, 12), ended(second, 21), ended(second, 22),
		ended(beside, 11), ended(beside, 12), ended(beside, 21),
	)
	if !b.Quarantined(request(beside)) {
		t.Error("not quarantined after three crashes without a known cause")
	}
	for n, e := range []Evidence{ended(first, 13), ended(first, 14), ended(second, 23)} {
		b.AddEvidence(start, uint64(100+n), &FleetLimits, []Evidence{e})
	}
	if b.Quarantined(request(beside)) || !b.Quarantined(request(first)) || !b.Quarantined(request(second)) || b.Version < 100 {
		t.Errorf("wrong records after the causes were identified: %+v", b)
	}
	for n, e := range []Evidence{ended(beside, 31), ended(beside, 32)} {
		b.AddEvidence(start, uint64(200+n), &FleetLimits, []Evidence{e})
	}
	if !b.Quarantined(request(beside)) {
		t.Error("a request that crashed five engines is not quarantined")
	}
}
