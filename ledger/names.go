package ledger

import (
	"celeryport/request"
	"celeryport/settings"
)

// Other replaces every name that is not in the settings. Callers choose the names
// that they send, so counting these as they are would let counters, copies and
// metrics grow without bound.
const Other = "other"

// Names maps requests to series and replaces names that are not in the settings.
type Names struct {
	tree          *settings.Tree
	organisations map[string]bool
	classes       map[string]settings.Objectives
	targets       map[target]bool
}

type target struct {
	kind request.Kind
	name string
}

// NewNames returns the names of a settings tree.
func NewNames(tree *settings.Tree) *Names {
	n := &Names{
		tree:          tree,
		organisations: map[string]bool{},
		classes:       map[string]settings.Objectives{},
		targets:       map[target]bool{},
	}
	for _, o := range tree.Organisations {
		n.organisations[o.Name] = true
	}
	for _, c := range tree.Classes {
		n.classes[c.Name] = c.Objectives
	}
	for _, m := range tree.Models {
		n.targets[target{request.Prompt, m.Name}] = true
	}
	for _, s := range tree.Services {
		n.targets[target{request.ServiceCall, s.Name}] = true
	}
	return n
}

// Series returns the series under which a request is counted. All names of a nil
// Names are Other.
func (n *Names) Series(r *request.Request) Series {
	s := Series{Organisation: Other, Class: Other, Kind: r.Kind, Target: Other}
	if n == nil {
		return s
	}
	if n.organisations[r.Organisation] {
		s.Organisation = r.Organisation
	}
	if _, known := n.classes[r.Class]; known {
		s.Class = r.Class
	}
	if n.targets[target{r.Kind, r.Target}] {
		s.Target = r.Target
	}
	return s
}

// objectives returns the objectives of a class.
func (n *Names) objectives(class string) settings.Objectives {
	if n == nil {
		return settings.Objectives{}
	}
	return n.classes[class]
}
