package settings

import "reflect"

// ChangedProcessKeys returns the keys, as section.key, whose values differ between the texts of two
// process settings without faults. The voters, which instances apply while they run, are left out.
func ChangedProcessKeys(before, after []byte) []string {
	old, _ := readSections(before, &collector{})
	current, _ := readSections(after, &collector{})
	var keys []string
	for _, section := range []*schema[Process]{&processSchema, &listenSchema, &controlSchema, &poolsSchema, &limitsSchema} {
		keys = append(keys, section.changed(old, current)...)
	}
	return append(keys, keysSchema.changed(old, current)...)
}

// changed returns the keys of the section whose values differ, as section.key.
func (s *schema[T]) changed(before, after []section) []string {
	var old, current T
	sectionPart(s, &old).decode(before, &collector{})
	sectionPart(s, &current).decode(after, &collector{})
	var keys []string
	for _, f := range s.fields {
		if !reflect.DeepEqual(f.get(&old), f.get(&current)) {
			keys = append(keys, s.kind+separator+f.name)
		}
	}
	return keys
}
