package placement

import "celeryport/settings"

// Alone plans a short prompt at one engine, without helpers. The last return is false when
// the engine has no room, or when another one should have the prompt.
func Alone(p *settings.EngineProfile, e *Engine, call *Call) (Plan, bool) {
	reading := Reading(p, call.Prompt)
	if e.Avoid || e.Tried || e.HelpOnly || reading > shortReading(p) || !hasRoom(p, e, call) {
		return Plan{}, false
	}
	plan := Plan{Part: reading, FirstEvent: firstEvent(p, e, reading), Seen: Seen{Engines: 1}}
	return within(plan, call.Objective-call.Waited)
}
