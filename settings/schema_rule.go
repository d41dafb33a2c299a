package settings

import "time"

var ruleSchema = schema[Rule]{
	kind:  "rule",
	title: "[rule], [rule.NAME], [rule.NAME.NAME]",
	help: "Rules override the settings of a class and an organisation for the requests that match both selectors. " +
		"A selector matches the branch that it names and all its descendants. Of several matching rules " +
		"exactly one applies: the one with the deeper organisation, then with the deeper class, then the later one in the file. " +
		"Each branch inherits selectors and overrides from its parent. A section that only serves as parent of others is a rule too.",
	fields: []field[Rule]{
		key("organisation", branchName(), "", func(r *Rule) *string { return &r.Organisation },
			"Organisation that the rule is for, with its descendants; left out: all."),
		key("class", branchName(), "", func(r *Rule) *string { return &r.Class },
			"Class that the rule is for, with its descendants; left out: all."),
		key("admit", optional(boolean()), "", func(r *Rule) **bool { return &r.Admit },
			"Whether matching requests are admitted at all."),
		key("priority", optional(integer(-mostPriority, mostPriority)), "", func(r *Rule) **int { return &r.Priority },
			"Engine priority of matching requests."),
		key("deadline", optional(duration(leastDeadline, mostDeadline)), "",
			func(r *Rule) **time.Duration { return &r.Deadline },
			"Deadline of matching requests."),
		key("prompt_tokens", count(0, mostTokens), "0", func(r *Rule) *int { return &r.PromptTokens },
			"Longest prompt of matching requests, in place of the organisation's limit; 0: that limit."),
	},
}
