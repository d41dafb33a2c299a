package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/quarantine"
	"celeryport/resume"
	"celeryport/verdict"
)

// hasSettings reports whether a view holds forwarding settings.
func hasSettings(view *control.View) bool {
	return view != nil && view.Tree != nil && view.Tree.Forwarding != nil
}

// awaitSettings waits for the first settings of a process that has just started. They arrive
// with the first answer of a voter, a moment later; without the wait, all calls would be refused
// during that time after a restart of all processes.
func (x *exchange) awaitSettings(ctx context.Context) {
	until := x.began.Add(maxSettingsWait)
	for !hasSettings(x.server.options.Plane.View()) && time.Now().Before(until) {
		x.heldBack = true
		if !clock.Pause(ctx, settingsPollInterval) {
			return
		}
	}
}

const (
	// maxSettingsWait bounds the wait for the first settings: two and a half times as long as
	// they usually take while voters are available.
	maxSettingsWait = 500 * time.Millisecond
	// settingsPollInterval is how often the wait checks for settings.
	settingsPollInterval = 10 * time.Millisecond
)

// admit determines the call's route, organisation, service and deadline, or returns a refusal.
func (x *exchange) admit() error {
	view := x.server.options.Plane.View()
	if err := x.declineUnread(view.Tree); err != nil {
		return err
	}
	if !hasSettings(view) {
		return verdict.Refuse(verdict.ReasonNoLease, x.spreadRetry(noSettingsRetry), "this instance has no settings yet")
	}
	tree := view.Tree
	x.revision = tree.Revision
	x.route = tree.Forwarding.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return verdict.Refuse(verdict.ReasonNotFound, 0, "no route for this host and path")
	}
	x.priority = x.route.Priority
	if !x.route.Public && len(tree.Organisations) > 0 {
		name, known := tree.Authenticate(x.call.Key)
		if !known {
			return verdict.Refuse(verdict.ReasonUnauthorized, 0, "no organisation has this key")
		}
		x.organisation = name
		x.priority = tree.PriorityOf(name, x.priority)
	}
	x.fingerprint = quarantine.FingerprintOf(quarantine.ScopeOf(x.call.Host, x.call.Path, x.organisation), x.body)
	x.service = tree.Forwarding.Service(x.route.Choose(x.server.draw()))
	if x.transit != nil && x.server.fleet.paths.Lost(x.service.Name) {
		return decline(verdict.ReasonNoUpstream, "this instance can't reach the upstreams either")
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if x.call.Wait > 0 {
		x.deadline = earlier(x.deadline, x.began.Add(x.call.Wait))
	}
	x.received = resume.After(x.call.ResumeAfter, x.call.Resumes, x.answerBegun())
	if t := x.transit; t != nil && t.Status != 0 {
		x.received.BeganWith(resume.Head{Status: t.Status, Type: t.Type})
	}
	return x.admitLate(time.Now())
}

// noSettingsRetry is the Retry-After of an instance that has just started: it gets its settings
// with its first sync, within a few tenths of a second.
const noSettingsRetry = 300 * time.Millisecond

// drainingRetry is the Retry-After of an instance that is stopping: callers may go to another
// instance at once, but not all in the same moment.
const drainingRetry = 50 * time.Millisecond
