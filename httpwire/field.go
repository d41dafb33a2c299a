package httpwire

import "strings"

// Field is one header field as it stood on the wire, without the blanks around
// its value.
type Field struct {
	Name  string
	Value string
}

// Fields are the header fields of a message in their order.
type Fields []Field

// Get returns the value of the first field of that name, whatever its case.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Lookup returns the value of the first field of that name and whether there is
// one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value, true
		}
	}
	return "", false
}

// Count returns how many fields have that name.
func (f Fields) Count(name string) int {
	count := 0
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			count++
		}
	}
	return count
}

// HasToken reports whether a comma-separated field of that name contains the
// token, whatever its case.
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

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns the fields that are meant for the other end: without those
// that concern one connection only, those that the Connection field names, and
// the length of the body, which the writer states itself.
func (f Fields) EndToEnd() Fields {
	kept := make(Fields, 0, len(f)+fieldsAdded)
	for i := range f {
		if isHopByHop(f[i].Name) || strings.EqualFold(f[i].Name, "Content-Length") ||
			f.HasToken("Connection", f[i].Name) {
			continue
		}
		kept = append(kept, f[i])
	}
	return kept
}

// fieldsAdded is the room for the fields that a forwarder adds, so that adding
// them seldom allocates.
const fieldsAdded = 8

func isHopByHop(name string) bool {
	for _, hop := range hopByHop {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}
