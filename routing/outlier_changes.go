package routing

import "time"

// OutlierChange is an upstream that gets no calls but probes any more because it fails them, or that
// gets calls as usual again.
type OutlierChange struct {
	Target  string
	Node    string
	Address string
	Ejected bool
	For     time.Duration // of the ejection
}

// maxOutlierChanges bounds the changes that nobody has taken yet.
const maxOutlierChanges = 1024

// outlierChanges collects the changes in all pools of a table.
type outlierChanges struct {
	list []OutlierChange
}

// add records a change of a node. span is the duration of the ejection, 0 if it has ended.
func (c *outlierChanges) add(target string, n *Node, span time.Duration) {
	if len(c.list) < maxOutlierChanges {
		c.list = append(c.list, OutlierChange{Target: target, Node: n.Name, Address: n.Address, Ejected: span > 0, For: span})
	}
}

// OutlierChanges returns the changes since the last call.
func (t *Table) OutlierChanges() []OutlierChange {
	list := t.changes.list
	t.changes.list = nil
	return list
}
