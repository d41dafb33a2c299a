package burn

import (
	"bytes"
	"fmt"
	"html"
)

// markup is HTML text that is written as it is. All other values are escaped.
type markup string

// document collects an HTML page.
//
// It replaces the template packages: these call methods by names that are known only at run time, so
// that the linker keeps all exported methods of all packages, a fifth of the binary of every instance.
type document struct {
	text bytes.Buffer
}

// add writes a format, whose values are escaped except for markup.
func (d *document) add(format string, values ...any) {
	escaped := make([]any, len(values))
	for i, value := range values {
		if raw, ok := value.(markup); ok {
			escaped[i] = string(raw)
			continue
		}
		escaped[i] = html.EscapeString(fmt.Sprint(value))
	}
	fmt.Fprintf(&d.text, format, escaped...)
}
