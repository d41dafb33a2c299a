package transit

import (
	"testing"
	"time"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// Guards against calls whose limits are lost between two instances, and against fields that reach an
// upstream.
func TestCallPassesBetweenInstances(t *testing.T) {
	sent := Call{From: "front a&b", Revision: 1 << 60, Sends: 2, Waited: 1500 * time.Millisecond, Events: 7, Paused: 90 * time.Millisecond, Status: 201, Type: "text/event-stream; charset=utf-8"}
	fields := httpwire.Fields{{Name: "Host", Value: "a"}, sent.Field(), {Name: "X", Value: "y"}}
	got, kept, err := TakeCall(fields)
	if err != nil || *got != sent || len(kept) != 2 || kept[0].Name != "Host" || kept[1].Name != "X" {
		t.Errorf("got %+v, %v, %v", got, kept, err)
	}
	for _, text := range []string{"", "revision=1", "revision=x&sends=1&waited_ms=1&events=0&paused_ms=0", "revision=1&sends=1&waited_ms=1&events=0&paused_ms=0&status=x", "%zz"} {
		if _, _, err := TakeCall(httpwire.Fields{{Name: callField, Value: text}}); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	short, _, err := TakeCall(httpwire.Fields{{Name: callField, Value: "revision=1&sends=-3&waited_ms=-9&events=-1&paused_ms=-1"}})
	if err != nil || short.Sends != 1 || short.Waited != 0 || short.Events != 0 || short.Paused != 0 || short.Status != 0 {
		t.Errorf("got %+v, %v", short, err)
	}
}

// Guards against a refusal that is taken for a promise that the call has not run although it can't be
// read.
func TestUnreadableRefusalPromisesNothing(t *testing.T) {
	sent := Refusal{Declined: true, Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, RetryAfter: 150 * time.Millisecond}
	if got := DecodeRefusal(httpwire.Fields{sent.Field()}); got == nil || *got != sent {
		t.Errorf("got %+v", got)
	}
	if got := DecodeRefusal(httpwire.Fields{{Name: "Host", Value: "a"}}); got != nil {
		t.Errorf("an answer of an upstream counts as refusal: %+v", got)
	}
	for _, text := range []string{"", "%zz", "verdict=NOT-RUN", "declined=1"} {
		if got := DecodeRefusal(httpwire.Fields{{Name: refusalField, Value: text}}); got == nil || got.Verdict != verdict.MayHaveRun {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
