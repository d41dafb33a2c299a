package placement

import "celeryport/settings"

// PromptOnEngine plans a short prompt on one engine, without helpers. It returns false if the
// engine has no room or if another engine should get the prompt.
func PromptOnEngine(p *settings.EngineProfile, e *Engine, call *Call) (Plan, bool) {
	prefill := PrefillTime(p, call.Prompt)
	if e.Avoid || e.Tried || e.HelpOnly || prefill > maxShortPrefill(p) || !hasRoom(p, e, call) {
		return Plan{}, false
	}
	plan := Plan{Part: prefill, FirstEvent: predictFirstEvent(p, e, prefill), Seen: Seen{Engines: 1}}
	return acceptWithin(plan, call.Objective-call.Waited)
}
