package settings

import "celeryport/verdict"

// Resolve returns the settings of a request by organisation and class. An empty
// class selects the fleet's default class.
func (t *Tree) Resolve(organisation, class string) (Resolved, *verdict.Error) {
	if class == "" {
		class = t.Fleet.DefaultClass
	}
	o := t.organisation(organisation)
	if o == nil {
		return Resolved{}, verdict.Refuse(verdict.ReasonUnauthorized, 0, "unknown organisation")
	}
	c := t.class(class)
	if c == nil {
		return Resolved{}, verdict.Refuse(verdict.ReasonBadRequest, 0, "there is no class %q", class)
	}
	if !o.mayUse(class) {
		return Resolved{}, verdict.Refuse(verdict.ReasonBadRequest, 0,
			"organisation %s may not use class %s", organisation, class)
	}
	resolved := combine(o, c)
	if rule := t.matchingRule(organisation, class); rule != nil {
		resolved.override(rule)
	}
	return resolved, nil
}

func (o *Organisation) mayUse(class string) bool {
	if len(o.Classes) == 0 {
		return true
	}
	for _, selector := range o.Classes {
		if covers(selector, class) {
			return true
		}
	}
	return false
}

func combine(o *Organisation, c *Class) Resolved {
	return Resolved{
		Organisation: o.Name,
		Class:        c.Name,
		Admit:        o.Admit,
		Weight:       o.Weight,
		Priority:     c.Priority,
		Deadline:     c.Deadline,
		NoRepeat:     c.NoRepeat,
		QueueLimit:   c.QueueLimit,
		RetryRatio:   o.RetryRatio,
		Limits:       o.Limits,
		Objectives:   c.Objectives,
	}
}

// matchingRule returns the most specific matching rule, nil if none matches. Of
// equally specific rules the last one wins.
func (t *Tree) matchingRule(organisation, class string) *Rule {
	var best *Rule
	for i := range t.Rules {
		r := &t.Rules[i]
		if !covers(r.Organisation, organisation) || !covers(r.Class, class) {
			continue
		}
		if best == nil || !best.moreSpecific(r) {
			best = r
		}
	}
	return best
}

// moreSpecific compares two rules that match the same request. Their selectors
// are then prefixes of the same path, so the longer one is the deeper one. The
// organisation selectors are compared first.
func (r *Rule) moreSpecific(other *Rule) bool {
	if len(r.Organisation) != len(other.Organisation) {
		return len(r.Organisation) > len(other.Organisation)
	}
	return len(r.Class) > len(other.Class)
}

func (r *Resolved) override(rule *Rule) {
	if rule.Admit != nil {
		r.Admit = *rule.Admit
	}
	if rule.Priority != nil {
		r.Priority = *rule.Priority
	}
	if rule.Deadline != nil {
		r.Deadline = *rule.Deadline
	}
	if rule.PromptTokens != 0 {
		r.Limits.PromptTokens = rule.PromptTokens
	}
}
