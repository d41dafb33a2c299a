package settings

// requiredKey is a key that is mandatory for some duties.
type requiredKey struct {
	section string
	name    string
	allowed string
}

// requiredKeys returns the keys that are mandatory for an instance with duty d.
func requiredKeys(d Duty) []requiredKey {
	traffic := requiredKey{listenSchema.kind, "address", addressAllowed}
	switch d {
	case ServesForwarding:
		return []requiredKey{traffic}
	case ServesControl:
		return nil
	default:
		return []requiredKey{
			traffic,
			{keysSchema.kind, "operators", secretAllowed},
			{keysSchema.kind, "upstreams", secretAllowed},
			{keysSchema.kind, "engine", secretAllowed},
		}
	}
}

// dutyPart checks that a section has the keys that the instance's duty requires.
// It runs right after the part that decodes the section, so that faults are
// reported in section order.
func dutyPart(kind string, p *Process) processPart {
	return processPart{kind: kind, decode: func(sections []section, faults *collector) {
		for _, required := range requiredKeys(p.Serves) {
			if required.section == kind && !hasKey(sections, required) {
				faults.add(required.section, required.name, "key is missing", required.allowed)
			}
		}
	}}
}

func hasKey(sections []section, required requiredKey) bool {
	for _, sec := range sections {
		if sec.name == required.section && sec.has(required.name) {
			return true
		}
	}
	return false
}
