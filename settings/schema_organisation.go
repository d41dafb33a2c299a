package settings

// Bounds of values that several sections use.
const (
	maxTokens = 100 * mega
	maxCount  = 10 * mega
	maxRate   = 1e12
	maxWeight = 1e6
	minWeight = 1e-3
)

var organisationSchema = schema[Organisation]{
	kind:  "organisation",
	title: "[organisation], [organisation.NAME], [organisation.NAME.NAME]",
	help: "The tree of organisations. Each branch inherits every key that it does not set itself from its parent, " +
		"except key_sha256, which identifies a single organisation. Limits are inherited as values: " +
		"each organisation has its own limit, and a parent's limit does not apply to the sum of its descendants.",
	fields: []field[Organisation]{
		key("key_sha256", list(digest()), "", func(o *Organisation) *[]string { return &o.KeySHA256 },
			"Hashes of the keys with which callers of this organisation authenticate.").notInherited().hidden(),
		key("admit", boolean(), "true", func(o *Organisation) *bool { return &o.Admit },
			"Whether its requests are admitted."),
		key("weight", number(minWeight, maxWeight), "1", func(o *Organisation) *float64 { return &o.Weight },
			"Share of the fleet under contention, relative to the other organisations."),
		key("classes", list(branchName()), "", func(o *Organisation) *[]string { return &o.Classes },
			"Classes that it may use, including their descendants; empty: all."),
		key("tokens_per_second", rate(maxRate), "0", func(o *Organisation) *float64 { return &o.Limits.TokensPerSecond },
			"Prompt and answer tokens admitted per second over the whole fleet; 0: no limit."),
		key("in_flight", count(0, maxCount), "0", func(o *Organisation) *int { return &o.Limits.InFlight },
			"Admitted requests that have not finished, over the whole fleet; 0: no limit."),
		key("prompt_tokens", count(0, maxTokens), "0", func(o *Organisation) *int { return &o.Limits.PromptTokens },
			"Longest prompt, in tokens; 0: no limit."),
		key("retry_ratio", number(0, 1), "0.1", func(o *Organisation) *float64 { return &o.RetryRatio },
			"Retries that the system may make for it, as a fraction of its successful requests."),
	},
}
