package settings

// PriorityOf returns the priority of an organisation's calls on a route: its own
// if it has one.
func (t *Tree) PriorityOf(organisation string, route int) int {
	if o := t.organisation(organisation); o != nil && o.Priority != nil {
		return *o.Priority
	}
	return route
}
