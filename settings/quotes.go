package settings

import "strings"

// rawQuotes are the quotes that the INI library strips, and whose values may span
// several lines. A secret that begins with one would silently lose characters at
// both ends.
var rawQuotes = []string{"`", `"""`}

// checkRawQuotes rejects values that begin with one of rawQuotes.
func checkRawQuotes(content []byte, faults *collector) {
	name := ""
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name = strings.Trim(line, "[]")
			continue
		}
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		key, value, _ := strings.Cut(line, "=")
		for _, quote := range rawQuotes {
			if strings.HasPrefix(strings.TrimSpace(value), quote) {
				faults.add(name, strings.TrimSpace(key), "value begins with "+quote, "values as they are, without such quotes")
			}
		}
	}
}
