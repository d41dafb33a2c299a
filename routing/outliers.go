package routing

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryport/loadshare"
	"celeryport/outlier"
)

const (
	// judgeInterval is how often a pool is rebuilt while some of its nodes are doubted.
	judgeInterval = 500 * time.Millisecond
	// doubtedWeight is the weight of a doubted node: it looks loaded, so that most calls
	// that can be sent again prefer another one.
	doubtedWeight = 0.5
)

// outliers keeps the outcomes of a pool's calls. It answers the load of a node that fails what
// it accepts: never busy, it would attract more calls than the others.
type outliers struct {
	detector *outlier.Detector
	changes  *outlierChanges
	doubts   bool // there may be evidence against some node
	members  []outlier.Member
	verdicts []outlier.Verdict // of all nodes of the pool
	probes   []probe
}

// probe is an ejected node that a call may try.
type probe struct {
	node    *Node
	verdict outlier.Verdict
}

// Succeeded records that a node answered a call, and reports whether the pool has to be rebuilt.
func (p *Pool) Succeeded(now time.Time, n *Node, o outlier.Outcome) bool {
	o.Upstream = n.key
	restored := p.outliers.detector.Succeeded(now, o)
	if restored {
		p.outliers.changes.add(p.Target, n, 0)
	}
	return restored
}

// Failed records that a node failed a call that it accepted, and reports whether the pool has to
// be rebuilt.
func (p *Pool) Failed(now time.Time, n *Node, o outlier.Outcome) bool {
	o.Upstream = n.key
	d := p.outliers.detector
	doubted := d.Doubts(now, n.key)
	ejected := d.Failed(now, o)
	p.outliers.doubts = true
	if ejected > 0 {
		p.outliers.changes.add(p.Target, n, ejected)
	}
	return ejected > 0 || doubted != d.Doubts(now, n.key)
}

// EndProbe records that a call that probed the node has ended.
func (p *Pool) EndProbe(n *Node) { p.outliers.detector.EndProbe(n.key) }

// judge updates the verdicts on the nodes, and returns how many of them get no calls but probes.
func (p *Pool) judge(now time.Time) (excluded int) {
	o := &p.outliers
	o.probes = o.probes[:0]
	o.verdicts = o.verdicts[:0]
	if !o.doubts {
		return 0
	}
	o.detector.Sweep(now)
	o.members = o.members[:0]
	o.doubts = false
	for _, n := range p.all {
		o.members = append(o.members, outlier.Member{Upstream: n.key})
		o.doubts = o.doubts || o.detector.Doubts(now, n.key) > 0
	}
	if !o.doubts {
		return 0
	}
	var began []outlier.Ejection
	o.verdicts, began = o.detector.Judge(now, o.members)
	for i, n := range p.all {
		if at := slices.IndexFunc(began, func(e outlier.Ejection) bool { return e.Upstream == n.key }); at >= 0 {
			o.changes.add(p.Target, n, began[at].For)
		}
		switch o.verdicts[i] {
		case outlier.Doubted:
			n.doubted = true
		case outlier.Use:
		default:
			excluded++
		}
	}
	p.scheduleProbe(now.Add(judgeInterval))
	return excluded
}

// verdict returns the verdict on a node of all.
func (o *outliers) verdict(i int) outlier.Verdict {
	if len(o.verdicts) == 0 {
		return outlier.Use
	}
	return o.verdicts[i]
}

// takeEjected returns one node that the request may try, and begins the probe.
func (p *Pool) takeEjected(now time.Time, r *Requirements) *Node {
	o := &p.outliers
	for i, t := range o.probes {
		if t.verdict.Allows(!r.Once) && r.fits(t.node) && o.detector.BeginProbe(now, t.node.key) {
			o.probes = append(o.probes[:i], o.probes[i+1:]...)
			return t.node
		}
	}
	return nil
}

// outlierKey returns the key of a node in the outcomes.
func outlierKey(k nodeKey) loadshare.Key {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.name) // never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, k.incarnation))
	return loadshare.Key(digest.Sum64())
}
