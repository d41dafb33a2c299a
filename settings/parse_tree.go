package settings

import "sort"

// treeKinds lists the kinds of sections in a tree, for faults.
const treeKinds = "[organisation], [class], [rule], [length.NAME], [model.NAME], [service.NAME], [fleet]"

// ParseTree parses and validates a settings tree. The error is a Faults that
// lists every problem; file is the name of the text in the faults.
func ParseTree(file string, text []byte) (*Tree, error) {
	faults := &collector{file: file}
	sections, ok := readSections(text, faults)
	checkKinds(sections, faults)
	tree := decodeTree(sections, faults)
	tree.Text = append([]byte(nil), text...)
	if ok {
		checkTree(tree, faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	tree.callerKeys = newCallerKeys(tree.Organisations)
	return tree, nil
}

func checkKinds(sections []section, faults *collector) {
	for _, sec := range sections {
		switch sec.kind() {
		case organisationSchema.kind, classSchema.kind, ruleSchema.kind, lengthSchema.kind,
			modelSchema.kind, serviceSchema.kind, fleetSchema.kind:
		default:
			faults.add(sec.name, "", "unknown section", treeKinds)
		}
	}
}

func decodeTree(sections []section, faults *collector) *Tree {
	tree := &Tree{Fleet: decodeSingle(&fleetSchema, sections, faults)}
	for _, b := range decodeBranches(&organisationSchema, sections, faults) {
		b.value.Name = b.name
		tree.Organisations = append(tree.Organisations, b.value)
	}
	for _, b := range decodeBranches(&classSchema, sections, faults) {
		b.value.Name = b.name
		tree.Classes = append(tree.Classes, b.value)
	}
	for _, b := range decodeBranches(&ruleSchema, sections, faults) {
		b.value.Name = b.name
		tree.Rules = append(tree.Rules, b.value)
	}
	decodeTargets(tree, sections, faults)
	return tree
}

func decodeTargets(tree *Tree, sections []section, faults *collector) {
	for _, b := range decodeFlat(&lengthSchema, sections, faults) {
		b.value.Name = b.name
		tree.Lengths = append(tree.Lengths, b.value)
	}
	sort.SliceStable(tree.Lengths, func(i, j int) bool { return tree.Lengths[i].UpTo < tree.Lengths[j].UpTo })
	for _, b := range decodeFlat(&modelSchema, sections, faults) {
		b.value.Name = b.name
		tree.Models = append(tree.Models, b.value)
	}
	for _, b := range decodeFlat(&serviceSchema, sections, faults) {
		b.value.Name = b.name
		tree.Services = append(tree.Services, b.value)
	}
}
