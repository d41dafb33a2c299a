package settings

import (
	"sort"
	"strings"
)

// branch is one decoded section with its dotted name below the root.
type branch[T any] struct {
	name  string
	value T
}

// decodeBranches decodes all sections of one kind. Each inherits from its
// parent by dots; [kind] itself, which may be left out, is the root.
func decodeBranches[T any](s *schema[T], all []section, faults *collector) []branch[T] {
	mine := ofKind(all, s.kind)
	sort.SliceStable(mine, func(i, j int) bool { return depth(mine[i].name) < depth(mine[j].name) })
	decoded := map[string]T{s.kind: s.defaults()}
	var branches []branch[T]
	for _, sec := range mine {
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
	return inFileOrder(branches, all, s.kind)
}

// decodeFlat decodes sections [kind.NAME] that inherit nothing; NAME may hold
// dots, as names of models often do.
func decodeFlat[T any](s *schema[T], all []section, faults *collector) []branch[T] {
	var branches []branch[T]
	for _, sec := range ofKind(all, s.kind) {
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

// decodeOne decodes the one section of a kind that has no branches.
func decodeOne[T any](s *schema[T], all []section, faults *collector) T {
	target := s.defaults()
	mine := ofKind(all, s.kind)
	for _, sec := range mine {
		if sec.branch() != "" {
			faults.add(sec.name, "", "unknown section", "["+s.kind+"]")
			continue
		}
		s.decode(&target, sec, faults)
	}
	return target
}

func ofKind(all []section, kind string) []section {
	var mine []section
	for _, sec := range all {
		if sec.kind() == kind {
			mine = append(mine, sec)
		}
	}
	return mine
}

func inFileOrder[T any](branches []branch[T], all []section, kind string) []branch[T] {
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

// covers reports whether a selector matches a branch: the branch that it names
// and all below it. An empty selector matches everything.
func covers(selector, name string) bool {
	return selector == "" || name == selector || strings.HasPrefix(name, selector+separator)
}
