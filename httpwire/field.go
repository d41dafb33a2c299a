package httpwire

import "strings"

// Field is one header field as received, without the whitespace around its value.
type Field struct {
	Name  string
	Value string
}

// Fields are the header fields of a message in their original order.
type Fields []Field

// Get returns the value of the first field with the name, ignoring case, or "" if
// there is none.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Lookup returns the value of the first field with the name, ignoring case, and
// whether there is one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value, true
		}
	}
	return "", false
}

// Count returns the number of fields with the name, ignoring case.
func (f Fields) Count(name string) int {
	count := 0
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			count++
		}
	}
	return count
}

// HasToken reports whether a comma-separated field with the name contains the token,
// ignoring case.
func (f Fields) HasToken(name, token string) bool {
	for i := range f {
		if !strings.EqualFold(f[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop lists the fields that apply to a single connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns the fields that a proxy forwards. It omits hop-by-hop fields, the
// fields named in Connection, and Content-Length, which is written with the body's
// framing.
func (f Fields) EndToEnd() Fields {
	kept := make(Fields, 0, len(f)+spareFields)
	for i := range f {
		if isHopByHop(f[i].Name) || strings.EqualFold(f[i].Name, "Content-Length") ||
			f.HasToken("Connection", f[i].Name) {
			continue
		}
		kept = append(kept, f[i])
	}
	return kept
}

// spareFields is spare capacity for the fields that a forwarder adds, so that adding
// them rarely allocates.
const spareFields = 8

func isHopByHop(name string) bool {
	for _, hop := range hopByHop {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}
