package settings

import "strings"

// rawQuotes begin a value that the INI library unquotes, and that may run over
// several lines. A key that happens to begin so would lose its first and last
// characters without a word.
var rawQuotes = []string{"`", `"""`}

// checkQuotes refuses values that begin with such a quote.
func checkQuotes(content []byte, faults *collector) {
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
