package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// keyValue is one key of a section as written in the file.
type keyValue struct {
	name     string
	text     string
	repeated bool // given more than once
}

// section is one section as written in the file.
type section struct {
	name string // full name, such as organisation.atelier.siracusa
	keys []keyValue
}

func (s section) has(name string) bool {
	for _, k := range s.keys {
		if k.name == name {
			return true
		}
	}
	return false
}

// kind returns the first part of the section's name; branch returns the rest.
func (s section) kind() string {
	kind, _, _ := strings.Cut(s.name, separator)
	return kind
}

func (s section) branch() string {
	_, branch, _ := strings.Cut(s.name, separator)
	return branch
}

// separator separates the parts of a section's name.
const separator = "."

// maxQuoted bounds how much of an invalid value a fault quotes, in bytes.
const maxQuoted = 40

// quote formats an invalid value for a fault, truncated to maxQuoted.
func quote(text string) string {
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return fmt.Sprintf("%q", text)
}

// loadOptions preserves duplicates, so that readSections can report them. By
// default the library merges them, and one of two contradicting values would
// silently apply.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		PreserveSurroundedQuote:    true,
		SkipUnrecognizableLines:    false,
		KeyValueDelimiters:         "=",
	}
}

// readSections parses the INI text and reports syntax errors, raw quotes and
// duplicate sections as faults. Keys outside a section are returned as the section
// ini.DefaultSection, which no schema knows. ok is false if the text is not an INI file.
func readSections(content []byte, faults *collector) (sections []section, ok bool) {
	checkRawQuotes(content, faults)
	file, err := ini.LoadSources(loadOptions(), content)
	if err != nil {
		faults.add("", "", "not an INI file: "+err.Error(), "[section] headers and key = value lines")
		return nil, false
	}
	seen := map[string]bool{}
	for _, s := range file.Sections() {
		read := readKeys(s)
		if s.Name() == ini.DefaultSection && len(read.keys) == 0 {
			continue
		}
		if seen[s.Name()] {
			faults.add(s.Name(), "", "section is given twice", "each section once")
			continue
		}
		seen[s.Name()] = true
		sections = append(sections, read)
	}
	return sections, true
}

func readKeys(s *ini.Section) section {
	read := section{name: s.Name()}
	for _, k := range s.Keys() {
		read.keys = append(read.keys, keyValue{
			name:     k.Name(),
			text:     k.Value(),
			repeated: len(k.ValueWithShadows()) > 1,
		})
	}
	return read
}
