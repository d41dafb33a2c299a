package settings

// neededKey is a key that must be given for some duties.
type neededKey struct {
	section string
	name    string
	allowed string
}

// neededFor lists the keys that an instance of that duty can't do without.
func neededFor(d Duty) []neededKey {
	traffic := neededKey{listenSchema.kind, "address", addressAllowed}
	switch d {
	case ServesForwarding:
		return []neededKey{traffic}
	case ServesControl:
		return nil
	default:
		return []neededKey{
			traffic,
			{keysSchema.kind, "operators", secretAllowed},
			{keysSchema.kind, "upstreams", secretAllowed},
			{keysSchema.kind, "engine", secretAllowed},
		}
	}
}

// dutyPart checks that a section has the keys that the duty of the instance
// needs. It comes after the section itself, so that faults keep the order of the
// sections.
func dutyPart(kind string, p *Process) processPart {
	return processPart{kind: kind, decode: func(sections []section, faults *collector) {
		for _, needed := range neededFor(p.Serves) {
			if needed.section == kind && !given(sections, needed) {
				faults.add(needed.section, needed.name, "key is missing", needed.allowed)
			}
		}
	}}
}

func given(sections []section, needed neededKey) bool {
	for _, sec := range sections {
		if sec.name == needed.section && sec.has(needed.name) {
			return true
		}
	}
	return false
}
