package outlier

import (
	"time"

	"celeryport/loadshare"
)

const (
	// ejectScore is the evidence from which an upstream is ejected: three failures in succession if the
	// others hardly fail.
	ejectScore = 9.0
	// doubtScore is the evidence from which an upstream is doubted: one failure of a request that another
	// upstream has answered, if the others hardly fail. Less, down to suspectScore, is half of a doubt.
	// Doubts of several instances eject an upstream together.
	doubtScore   = 2.2
	suspectScore = 1.2
	// probeScore is the evidence that is left after a successful probe, so that two failures eject the
	// upstream again.
	probeScore = 2.1
	// minProbeWeight is the evidence from which a failure counts as that of a probe.
	minProbeWeight = 0.5
	// maxClasses bounds the classes that are told apart at one upstream.
	maxClasses = 64
)

// Detector holds the outcomes of the sends of one instance to the upstreams of one service. It is not safe for
// concurrent use.
//
// It answers the load of an upstream that fails what it accepts, at once and so without ever being busy: it
// would attract more calls than the others, and each that may be repeated would cost the others a repeat.
type Detector struct {
	upstreams map[loadshare.Key]*record
	requests  requests
	fleet     Fleet
}

// record is what is known of one upstream.
type record struct {
	all       tally
	classes   map[string]*tally
	score     float64 // evidence that it fails more than usual, in natural logarithms
	scoredAt  time.Time
	usual     float64 // rate of failures with which it was compared last
	answering bool    // it has answered since its last failure
	ejection  ejection
}

// NewDetector returns a detector without any outcomes.
func NewDetector() *Detector { return &Detector{upstreams: map[loadshare.Key]*record{}} }

// SetFleet tells the detector of the other instances whose doubts Judge gets.
func (d *Detector) SetFleet(fleet Fleet) { d.fleet = fleet }

// Succeeded records an answer, and reports whether it ended an ejection. If the send had been recorded as failed
// because its answer did not come in time, that is withdrawn.
func (d *Detector) Succeeded(now time.Time, o Outcome) (restored bool) {
	u := d.record(now, o)
	withdrawn := d.withdraw(now, u, o)
	u.answering = true
	u.all.succeeded++
	u.classes[o.Class].succeeded++
	d.exonerate(now, o)
	switch {
	case !u.ejection.active(now):
	case withdrawn && u.score < doubtScore:
		u.ejection.end()
		return true
	case o.SentAt.Before(u.ejection.began), o.Minor:
		return false
	default:
		u.ejection.end()
		u.score = probeScore
		return true
	}
	if u.score > 0 {
		_, success := weights(u.usual)
		u.score = max(0, u.score-success)
	}
	return false
}

// Began records that the answer of a send has begun. If the send had been recorded as failed because its answer
// did not come in time, that is withdrawn: the end of a long answer comes when the failure can't be found any more.
// It reports whether that ended an ejection, which rested on such failures alone.
func (d *Detector) Began(now time.Time, o Outcome) (restored bool) {
	u := d.upstreams[o.Upstream]
	if u == nil || !d.withdraw(now, u, o) || !u.ejection.active(now) || u.ejection.count > 1 || u.score >= suspectScore {
		return false
	}
	u.ejection.end()
	return true
}

// Failed records a failure. It returns for how long the upstream is ejected, 0 if it is not because of this
// failure.
func (d *Detector) Failed(now time.Time, o Outcome) (ejected time.Duration) {
	u := d.record(now, o)
	request := d.requests.get(now, o.Request)
	if request.knows(o) {
		return 0
	}
	u.usual = d.usualRate(now, o.Upstream, o.Class)
	b := blame{upstream: o.Upstream, class: o.Class, sentAt: o.SentAt, minor: o.Minor}
	b.weight = b.weigh(u.usual)
	weight := b.weight
	request.add(b)
	d.settle(now, request)
	u.answering = false
	switch {
	case !u.ejection.active(now):
		if u.score >= ejectScore {
			return u.ejection.begin(now, false)
		}
	case !o.SentAt.Before(u.ejection.until) && weight >= minProbeWeight:
		return u.ejection.begin(now, true)
	}
	return 0
}

// withdraw takes back the failure of a send that has been answered.
func (d *Detector) withdraw(now time.Time, u *record, o Outcome) bool {
	request := d.requests.failed[o.Request]
	if request == nil {
		return false
	}
	b, found := request.withdraw(o)
	if found {
		u.blame(now, &b, -b.counted)
	}
	return found
}

// exonerate records that a request succeeded, so that its failures were due to their upstreams. It shows that
// another upstream answers their class, which may not have been known when they failed.
func (d *Detector) exonerate(now time.Time, o Outcome) {
	request := d.requests.failed[o.Request]
	if request == nil {
		return
	}
	request.sound = true
	for i := range request.blames {
		if b := &request.blames[i]; b.upstream != o.Upstream {
			d.reweigh(now, b)
		}
	}
	d.settle(now, request)
}

// reweigh raises the evidence of a failure to what it is compared with the other upstreams as they are known now.
func (d *Detector) reweigh(now time.Time, b *blame) {
	u := d.upstreams[b.upstream]
	if u == nil {
		return
	}
	usual := d.usualRate(now, b.upstream, b.class)
	if weight := b.weigh(usual); weight > b.weight {
		u.score, u.scoredAt = u.scoreAt(now)+b.counted*(weight-b.weight), now
		u.usual, b.weight = usual, weight
	}
}

// settle counts the evidence of a failed request as far as it has become clear whose fault it is.
func (d *Detector) settle(now time.Time, request *failedRequest) {
	counts := request.counts()
	for i := range request.blames {
		b := &request.blames[i]
		if u := d.upstreams[b.upstream]; u != nil {
			u.blame(now, b, counts-b.counted)
		}
		b.counted = counts
	}
}

// blame changes the part of the evidence of a failure that counts.
func (u *record) blame(now time.Time, b *blame, change float64) {
	u.score, u.scoredAt = max(0, u.scoreAt(now)+change*b.weight), now
	switch {
	case b.counted == 0 && change > 0:
		u.countFailure(now, b.class, 1)
	case b.counted > 0 && b.counted+change <= 0:
		u.countFailure(now, b.class, -1)
	}
}

// countFailure adds to the number of failures.
func (u *record) countFailure(now time.Time, class string, count float64) {
	u.all.age(now)
	u.all.failed = max(0, u.all.failed+count)
	if t := u.classes[class]; t != nil {
		t.age(now)
		t.failed = max(0, t.failed+count)
	}
}

// Forget drops the evidence against all upstreams: the failures were due to something else, like the network
// paths of this instance.
func (d *Detector) Forget() {
	d.requests = requests{}
	for _, u := range d.upstreams {
		u.score, u.ejection = 0, ejection{}
	}
}

// Doubts returns by how much this instance doubts an upstream, in halves of a doubt, for the other instances.
func (d *Detector) Doubts(now time.Time, upstream loadshare.Key) int {
	return d.upstreams[upstream].doubts(now)
}

// Ejected reports whether an upstream gets no calls of this instance but probes.
func (d *Detector) Ejected(now time.Time, upstream loadshare.Key) bool {
	u := d.upstreams[upstream]
	return u != nil && u.ejection.active(now)
}

// BeginProbe records that a call probes an ejected upstream, and reports whether it does.
func (d *Detector) BeginProbe(now time.Time, upstream loadshare.Key) bool {
	u := d.upstreams[upstream]
	if u == nil || u.ejection.probe || !u.ejection.active(now) || now.Before(u.ejection.until) {
		return false
	}
	u.ejection.probe = true
	return true
}

// EndProbe records that the call has ended. A call that shows nothing leaves room for the next one.
func (d *Detector) EndProbe(upstream loadshare.Key) {
	if u := d.upstreams[upstream]; u != nil {
		u.ejection.probe = false
	}
}

// Sweep removes what has become too old to matter.
func (d *Detector) Sweep(now time.Time) {
	d.requests.expire(now)
	for key, u := range d.upstreams {
		if now.Sub(u.all.at) > 3*memory && !u.ejection.active(now) && now.Sub(u.ejection.until) > provenAfter {
			delete(d.upstreams, key)
		}
	}
}

// record returns the record of an outcome's upstream, with its counts and evidence as of now.
func (d *Detector) record(now time.Time, o Outcome) *record {
	u := d.upstreams[o.Upstream]
	if u == nil {
		u = &record{classes: map[string]*tally{}, usual: minUsualRate}
		d.upstreams[o.Upstream] = u
	}
	u.all.age(now)
	u.score, u.scoredAt = u.scoreAt(now), now
	class := u.classes[o.Class]
	if class == nil {
		u.makeRoom()
		class = &tally{}
		u.classes[o.Class] = class
	}
	class.age(now)
	return u
}

// makeRoom removes the class that was used least recently if there are too many.
func (u *record) makeRoom() {
	if len(u.classes) < maxClasses {
		return
	}
	var oldest string
	var oldestAt time.Time
	for name, t := range u.classes {
		if oldestAt.IsZero() || t.at.Before(oldestAt) {
			oldest, oldestAt = name, t.at
		}
	}
	delete(u.classes, oldest)
}

// scoreAt returns the evidence, which fades like the weight of outcomes.
func (u *record) scoreAt(now time.Time) float64 { return u.score * fading(now.Sub(u.scoredAt)) }

// release ends an ejection without a probe. It keeps evidence, but no doubt: others probe the upstream.
func (u *record) release(now time.Time) {
	u.ejection.end()
	u.score, u.scoredAt, u.answering = probeScore, now, true
}

// doubts returns how strong the evidence against the upstream is, in halves of a doubt. A nil record has none.
func (u *record) doubts(now time.Time) int {
	switch {
	case u == nil:
		return 0
	case u.ejection.active(now) || u.scoreAt(now) >= doubtScore:
		return fullDoubt
	case u.scoreAt(now) >= suspectScore && !u.answering: // after a probe the doubts of others must not begin the next ejection
		return 1
	default:
		return 0
	}
}
