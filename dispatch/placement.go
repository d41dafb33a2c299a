package dispatch

import "celeryport/routing"

// spanPlacement converts the parts chosen by routing to those of an action.
// Their order is the order in which the driver reserves memory.
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

// singleNodePlacement returns the placement that all single-node sends to a
// node share. It carries no reservation: the engine allocates the memory when
// it runs the request. The parts are never modified, so a driver may retain
// them.
func singleNodePlacement(n *routing.Node) Placement {
	if parts, made := n.Shared.([]Part); made {
		return Placement{Parts: parts}
	}
	part := partOf(n)
	part.Lead = true
	parts := []Part{part}
	n.Shared = parts
	return Placement{Parts: parts}
}
