package settings

// PriorityOf returns the priority of an organisation's calls: that of the
// organisation if set, otherwise route, the priority of the route.
func (t *Tree) PriorityOf(organisation string, route int) int {
	if o := t.organisation(organisation); o != nil && o.Priority != nil {
		return *o.Priority
	}
	return route
}
