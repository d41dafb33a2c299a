package settings

import (
	"testing"
	"time"
)

// The engines of a service may prefill during decoding for as long as the shortest
// PauseLimit of the service's routes permits. A value of another route or service
// would stall streams for too long or reject long prompts.
func TestEngineServicesGetShortestPauseOfTheirRoutes(t *testing.T) {
	route := func(name, service string, pause time.Duration) Route {
		return Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Stream: true, Timeout: time.Second, PauseLimit: pause, Patience: 8 * pause,
			Shares: []ServiceShare{{Service: service, Weight: 1}},
		}
	}
	forwarding := &Forwarding{
		Routes: []Route{
			route("long", "model", time.Second), route("short", "model", 250*time.Millisecond), route("none", "model", 0),
			route("other", "second", 100*time.Millisecond), route("plain", "office", 50*time.Millisecond),
		},
		Services: []ForwardedService{
			{Name: "model", Engine: &EngineProfile{}}, {Name: "second", Engine: &EngineProfile{}}, {Name: "office"},
		},
	}
	if _, err := NewForwardingTree("test", nil, forwarding); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]time.Duration{"model": 250 * time.Millisecond, "second": 100 * time.Millisecond} {
		if got := forwarding.Service(name).Engine.MinPauseLimit; got != want {
			t.Errorf("the shortest pause of %s is %s, want %s", name, got, want)
		}
		if got := forwarding.Service(name).Engine.MinPatience; got != 8*want {
			t.Errorf("the shortest patience of %s is %s, want %s", name, got, 8*want)
		}
	}
}
