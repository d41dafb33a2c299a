// Package verdict defines whether a request may have run, and carries that
// statement through all layers in the errors that end a request.
package verdict

// Verdict states what is known about the execution of a request at its
// upstream. The zero value is the conservative one: an unset verdict never
// claims that a request was not run.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request may have reached
	// an upstream and that its outcome there is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream executed the request; this is certain.
	NotRun
	// Ran means that an upstream executed the request and its outcome is known.
	Ran
)

// String returns the wire form used in headers, JSON and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the wire form. Unknown values are read as MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))
	return nil
}
