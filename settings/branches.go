package settings

import (
	"sort"
	"strings"
)

// branch is one decoded section. Its name is the dotted path below the root.
type branch[T any] struct {
	name  string
	value T
}

// decodeBranches decodes all sections of one kind. Each section inherits from
// its parent in the dotted path; the optional section [kind] is the root.
func decodeBranches[T any](s *schema[T], all []section, faults *collector) []branch[T] {
	matching := sectionsOfKind(all, s.kind)
	sort.SliceStable(matching, func(i, j int) bool { return depth(matching[i].name) < depth(matching[j].name) })
	decoded := map[string]T{s.kind: s.defaults()}
	var branches []branch[T]
	for _, sec := range matching {
		parent, found := decoded[parentOf(sec.name)]
		if sec.name == s.kind {
			parent, found = decoded[s.kind], true
		}
		if !found {
			faults.add(sec.name, "", "parent section ["+parentOf(sec.name)+"] is missing", "a section below one that is there")
			parent = s.defaults()
		}
		target := s.inherit(parent)
		s.decode(&target, sec, faults)
		decoded[sec.name] = target
		if sec.name != s.kind {
			branches = append(branches, branch[T]{name: sec.branch(), value: target})
		}
	}
	return sortInFileOrder(branches, all, s.kind)
}

// decodeFlat decodes sections [kind.NAME] without inheritance. NAME may contain
// dots, as model names often do.
func decodeFlat[T any](s *schema[T], all []section, faults *collector) []branch[T] {
	var branches []branch[T]
	for _, sec := range sectionsOfKind(all, s.kind) {
		if sec.branch() == "" {
			faults.add(sec.name, "", "section has no name", "["+s.kind+".NAME]")
			continue
		}
		target := s.defaults()
		s.decode(&target, sec, faults)
		branches = append(branches, branch[T]{name: sec.branch(), value: target})
	}
	return branches
}

// decodeSingle decodes a kind that has a single section and no branches.
func decodeSingle[T any](s *schema[T], all []section, faults *collector) T {
	target := s.defaults()
	matching := sectionsOfKind(all, s.kind)
	for _, sec := range matching {
		if sec.branch() != "" {
			faults.add(sec.name, "", "unknown section", "["+s.kind+"]")
			continue
		}
		s.decode(&target, sec, faults)
	}
	return target
}

func sectionsOfKind(all []section, kind string) []section {
	var matching []section
	for _, sec := range all {
		if sec.kind() == kind {
			matching = append(matching, sec)
		}
	}
	return matching
}

func sortInFileOrder[T any](branches []branch[T], all []section, kind string) []branch[T] {
	position := map[string]int{}
	for i, sec := range all {
		position[sec.name] = i
	}
	at := func(i int) int { return position[kind+separator+branches[i].name] }
	sort.Slice(branches, func(i, j int) bool { return at(i) < at(j) })
	return branches
}

func depth(name string) int { return strings.Count(name, separator) }

func parentOf(name string) string {
	last := strings.LastIndex(name, separator)
	if last < 0 {
		return ""
	}
	return name[:last]
}

// covers reports whether a selector matches a branch. A selector matches the
// named branch and its descendants; an empty selector matches every branch.
func covers(selector, name string) bool {
	return selector == "" || name == selector || strings.HasPrefix(name, selector+separator)
}
