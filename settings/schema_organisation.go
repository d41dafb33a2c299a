package settings

// The bounds of values that several sections share.
const (
	mostTokens  = 100 * mega
	mostCount   = 10 * mega
	mostRate    = 1e12
	mostWeight  = 1e6
	leastWeight = 1e-3
)

var organisationSchema = schema[Organisation]{
	kind:  "organisation",
	title: "[organisation], [organisation.NAME], [organisation.NAME.NAME]",
	help: "The tree of organisations. Each branch inherits every key from its parent unless it gives its own, " +
		"but for key_sha256, which names one organisation only. Limits are inherited as values: " +
		"each organisation has a limit of its own, and a parent's limit does not bound its descendants together.",
	fields: []field[Organisation]{
		key("key_sha256", list(digest()), "", func(o *Organisation) *[]string { return &o.KeySHA256 },
			"Hashes of the keys by which callers of this organisation authenticate.").notInherited().hidden(),
		key("admit", boolean(), "true", func(o *Organisation) *bool { return &o.Admit },
			"Whether its requests are admitted at all."),
		key("weight", number(leastWeight, mostWeight), "1", func(o *Organisation) *float64 { return &o.Weight },
			"Share of a full fleet, relative to the other organisations."),
		key("classes", list(branchName()), "", func(o *Organisation) *[]string { return &o.Classes },
			"Classes that it may use, each with its descendants; empty: all."),
		key("tokens_per_second", rate(mostRate), "0", func(o *Organisation) *float64 { return &o.Limits.TokensPerSecond },
			"Prompt and answer tokens admitted a second over the whole fleet; 0: no limit."),
		key("in_flight", count(0, mostCount), "0", func(o *Organisation) *int { return &o.Limits.InFlight },
			"Admitted requests that are not yet finished, over the whole fleet; 0: no limit."),
		key("prompt_tokens", count(0, mostTokens), "0", func(o *Organisation) *int { return &o.Limits.PromptTokens },
			"Longest prompt; 0: no limit."),
		key("retry_ratio", number(0, 1), "0.1", func(o *Organisation) *float64 { return &o.RetryRatio },
			"Retries that the system may make for it, as a fraction of its successes."),
	},
}
