package settings

import "time"

var ruleSchema = schema[Rule]{
	kind:  "rule",
	title: "[rule], [rule.NAME], [rule.NAME.NAME]",
	help: "Rules override settings of classes and organisations for requests that match both selectors. " +
		"A selector matches the named branch and all its descendants. Of several matching rules " +
		"exactly one applies: that with the deepest organisation, then the deepest class, then the last in the file. " +
		"Each branch inherits selectors and overrides from its parent. A section that is the parent of others is itself a rule.",
	fields: []field[Rule]{
		key("organisation", branchName(), "", func(r *Rule) *string { return &r.Organisation },
			"Organisation to which the rule applies, including its descendants; default: all."),
		key("class", branchName(), "", func(r *Rule) *string { return &r.Class },
			"Class to which the rule applies, including its descendants; default: all."),
		key("admit", optional(boolean()), "", func(r *Rule) **bool { return &r.Admit },
			"Whether matching requests are admitted."),
		key("priority", optional(integer(-maxPriority, maxPriority)), "", func(r *Rule) **int { return &r.Priority },
			"Engine priority of matching requests."),
		key("deadline", optional(duration(minDeadline, maxDeadline)), "",
			func(r *Rule) **time.Duration { return &r.Deadline },
			"Deadline of matching requests."),
		key("prompt_tokens", count(0, maxTokens), "0", func(r *Rule) *int { return &r.PromptTokens },
			"Longest prompt of matching requests, instead of the organisation's limit; 0: the organisation's limit applies."),
	},
}
