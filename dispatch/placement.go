package dispatch

import "celeryport/routing"

// spanPlacement turns the parts of routing into those of an action. Their order is that
// in which the driver reserves.
func spanPlacement(parts []routing.Part) Placement {
	placement := Placement{Parts: make([]Part, 0, len(parts))}
	for _, p := range parts {
		part := partOf(p.Node)
		part.Tokens = p.Tokens
		part.Lead = p.Lead
		placement.Parts = append(placement.Parts, part)
	}
	return placement
}

func partOf(n *routing.Node) Part {
	return Part{Name: n.Name, Incarnation: n.Incarnation, Address: n.Address}
}

// undivided returns the one part that all undivided placements on a node share. It
// has no reservation: the engine takes the memory when it runs the request. It
// is never changed, so a driver may keep it.
func undivided(n *routing.Node) Placement {
	if parts, made := n.Shared.([]Part); made {
		return Placement{Parts: parts}
	}
	part := partOf(n)
	part.Lead = true
	parts := []Part{part}
	n.Shared = parts
	return Placement{Parts: parts}
}
