package helping

import (
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/quarantine"
)

// maxEjected bounds the engines that are listed for the arbiter: a request to it is one datagram.
const maxEjected = 32

// retention is how long a failure may matter: longer than an ejection and the wait for a probe.
const retention = time.Minute

// class is the class of all outcomes: engines read the parts of all routes alike.
const class = "help"

// Prompt is one send of a prompt.
type Prompt struct {
	Request quarantine.Fingerprint
	SentAt  time.Time
}

func (p Prompt) outcome(helper loadshare.Key) outlier.Outcome {
	return outlier.Outcome{Upstream: helper, Class: class, Request: p.Request, SentAt: p.SentAt}
}

// Record holds the outcomes of the parts of prompts at the engines of one service. It is not safe for concurrent use.
type Record struct {
	detector *outlier.Detector
	failedAt time.Time // of the last part that failed
}

// NewRecord returns a record without any outcomes.
func NewRecord() *Record { return &Record{detector: outlier.NewDetector()} }

// Answered records that a prompt was answered with parts of the given helpers.
func (r *Record) Answered(now time.Time, p Prompt, helpers []loadshare.Key) {
	for _, helper := range helpers {
		r.detector.Succeeded(now, p.outcome(helper))
	}
}

// Failed records that a helper failed a prompt. refused means that it did not begin: it may only be busy. It returns
// for how long the engine does not help, 0 if it may go on.
func (r *Record) Failed(now time.Time, p Prompt, helper loadshare.Key, refused bool) time.Duration {
	o := p.outcome(helper)
	o.Minor = refused
	r.failedAt = now
	return r.detector.Failed(now, o)
}

// Matters reports whether parts have failed lately, so that engines may have to be left out.
func (r *Record) Matters(now time.Time) bool { return now.Sub(r.failedAt) < retention }

// Avoided reports of each of the engines of the service whether it must not help, and which ejections that began. At
// most half of them must not.
func (r *Record) Avoided(now time.Time, engines []loadshare.Key) ([]bool, []outlier.Ejection) {
	avoided := make([]bool, len(engines))
	if !r.Matters(now) {
		return avoided, nil
	}
	members := make([]outlier.Member, len(engines))
	for i, key := range engines {
		members[i].Upstream = key
	}
	verdicts, began := r.detector.Judge(now, members)
	for i, v := range verdicts {
		avoided[i] = v == outlier.Avoid
	}
	return avoided, began
}

// Ejected lists those of some engines that must not help, a limited number of them.
func (r *Record) Ejected(now time.Time, engines []loadshare.Key) []loadshare.Key {
	avoided, _ := r.Avoided(now, engines)
	var list []loadshare.Key
	for i, key := range engines {
		if avoided[i] && len(list) < maxEjected {
			list = append(list, key)
		}
	}
	return list
}

// BeginProbes records that a prompt probes those of its helpers that are due for a probe, and returns them.
func (r *Record) BeginProbes(now time.Time, helpers []loadshare.Key) []loadshare.Key {
	return slices.DeleteFunc(slices.Clone(helpers), func(helper loadshare.Key) bool { return !r.detector.BeginProbe(now, helper) })
}

// EndProbes records that the prompt has ended.
func (r *Record) EndProbes(helpers []loadshare.Key) {
	for _, helper := range helpers {
		r.detector.EndProbe(helper)
	}
}

// Forget drops what is known against all engines.
func (r *Record) Forget() { r.detector.Forget() }

// Sweep removes what has become too old to matter.
func (r *Record) Sweep(now time.Time) { r.detector.Sweep(now) }
