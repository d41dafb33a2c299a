package settings

import "fmt"

// checkTree checks constraints that involve more than one key.
func checkTree(tree *Tree, faults *collector) {
	checkPresence(tree, faults)
	checkNames(tree, faults)
	checkOrganisations(tree, faults)
	checkRules(tree, faults)
	checkLengths(tree, faults)
	checkFleet(tree, faults)
}

func checkPresence(tree *Tree, faults *collector) {
	if len(tree.Organisations) == 0 {
		faults.add(organisationSchema.kind, "", "there is no organisation", "at least one [organisation.NAME]")
	}
	if len(tree.Classes) == 0 {
		faults.add(classSchema.kind, "", "there is no class", "at least one [class.NAME]")
	}
	if len(tree.Lengths) == 0 {
		faults.add(lengthSchema.kind, "", "no length class covers any prompt", "at least one [length.NAME]")
	}
}

func checkNames(tree *Tree, faults *collector) {
	for _, o := range tree.Organisations {
		checkName(organisationSchema.kind, o.Name, branchName(), faults)
	}
	for _, c := range tree.Classes {
		checkName(classSchema.kind, c.Name, branchName(), faults)
	}
	for _, r := range tree.Rules {
		checkName(ruleSchema.kind, r.Name, branchName(), faults)
	}
	for _, l := range tree.Lengths {
		checkName(lengthSchema.kind, l.Name, branchName(), faults)
	}
	for _, m := range tree.Models {
		checkName(modelSchema.kind, m.Name, plainName(), faults)
	}
	for _, s := range tree.Services {
		checkName(serviceSchema.kind, s.Name, plainName(), faults)
	}
}

func checkName(kind, name string, allowed value[string], faults *collector) {
	if _, err := allowed.parse(name); err != nil {
		faults.add(kind+separator+name, "", "bad name", allowed.allowed)
	}
}

// checkOrganisations checks the class selectors, and that no two organisations
// share a key: their requests would be charged to whichever is found first.
func checkOrganisations(tree *Tree, faults *collector) {
	owner := map[string]string{}
	for _, o := range tree.Organisations {
		name := organisationSchema.kind + separator + o.Name
		for _, hash := range o.KeySHA256 {
			if other, taken := owner[hash]; taken {
				faults.add(name, "key_sha256", "key is already that of organisation "+other, "each key once in the tree")
				continue
			}
			owner[hash] = o.Name
		}
		for _, class := range o.Classes {
			if tree.class(class) == nil {
				faults.add(name, "classes", "there is no class "+quote(class), "names of [class.NAME] sections")
			}
		}
	}
}

func checkRules(tree *Tree, faults *collector) {
	for _, r := range tree.Rules {
		name := ruleSchema.kind + separator + r.Name
		if r.Organisation != "" && tree.organisation(r.Organisation) == nil {
			faults.add(name, "organisation", "selector matches nothing: there is no organisation "+quote(r.Organisation),
				"names of [organisation.NAME] sections")
		}
		if r.Class != "" && tree.class(r.Class) == nil {
			faults.add(name, "class", "selector matches nothing: there is no class "+quote(r.Class),
				"names of [class.NAME] sections")
		}
		checkPromptLimit(tree, name, r.PromptTokens, faults)
	}
}

func checkLengths(tree *Tree, faults *collector) {
	for i := 1; i < len(tree.Lengths); i++ {
		one, other := tree.Lengths[i-1], tree.Lengths[i]
		if one.UpTo == other.UpTo {
			faults.add(lengthSchema.kind+separator+other.Name, "up_to", "same bound as length class "+one.Name, "different bounds")
		}
		if one.Long && !other.Long {
			faults.add(lengthSchema.kind+separator+other.Name, "long", "shorter class "+one.Name+" is already long", "true")
		}
	}
	for _, o := range tree.Organisations {
		checkPromptLimit(tree, organisationSchema.kind+separator+o.Name, o.Limits.PromptTokens, faults)
	}
}

func checkPromptLimit(tree *Tree, section string, limit int, faults *collector) {
	if len(tree.Lengths) == 0 {
		return
	}
	longest := tree.Lengths[len(tree.Lengths)-1]
	if limit > longest.UpTo {
		faults.add(section, "prompt_tokens", fmt.Sprintf("no length class covers prompts of %d tokens", limit),
			fmt.Sprintf("up to %d, the bound of [length.%s]", longest.UpTo, longest.Name))
	}
}

func checkFleet(tree *Tree, faults *collector) {
	f := tree.Fleet
	if f.DefaultClass != "" && tree.class(f.DefaultClass) == nil {
		faults.add(fleetSchema.kind, "default_class", "there is no class "+quote(f.DefaultClass), "names of [class.NAME] sections")
	}
}
