package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// keyValue is one key of a section as it stands in the file.
type keyValue struct {
	name     string
	text     string
	repeated bool // given more than once
}

// section is one section as it stands in the file.
type section struct {
	name string // whole name, for instance organisation.atelier.siracusa
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

// kind is the first part of the section's name, branch the rest.
func (s section) kind() string {
	kind, _, _ := strings.Cut(s.name, separator)
	return kind
}

func (s section) branch() string {
	_, branch, _ := strings.Cut(s.name, separator)
	return branch
}

// separator stands between the parts of a section's name.
const separator = "."

// longestQuote bounds the part of a wrong value that a fault repeats.
const longestQuote = 40

// quote repeats a wrong value in a fault, cut to a readable length.
func quote(text string) string {
	if len(text) > longestQuote {
		text = text[:longestQuote] + "..."
	}
	return fmt.Sprintf("%q", text)
}

// loadOptions let duplicates through to readSections: by default the library
// merges them, and of two contradicting values the operator would get one
// without being told which.
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

// readSections parses the INI text. Syntax errors, duplicate sections and keys
// outside a section are faults. It is not ok if the text is no INI file at all.
func readSections(content []byte, faults *collector) (sections []section, ok bool) {
	checkQuotes(content, faults)
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
