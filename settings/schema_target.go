package settings

import "time"

const (
	maxReplicas       = 10 * kilo
	minUpTo           = 1
	minServiceTimeout = time.Millisecond
)

var lengthSchema = schema[Length]{
	kind:  "length",
	title: "[length.NAME]",
	help: "Length classes of prompts, by estimated tokens. At least one is required. " +
		"Prompts beyond the bound of the longest class belong to it.",
	fields: []field[Length]{
		key("up_to", count(minUpTo, maxTokens), "", func(l *Length) *int { return &l.UpTo },
			"Longest prompt of the class, in tokens.").required(),
		key("long", boolean(), "false", func(l *Length) *bool { return &l.Long },
			"Whether prompts of the class can block short ones and are scheduled in the lane for long prompts."),
	},
}

var modelSchema = schema[Model]{
	kind:  "model",
	title: "[model.NAME]",
	help:  "Models that engines serve. NAME is the model name in callers' requests; it may contain dots.",
	fields: []field[Model]{
		key("version", plainName(), "", func(m *Model) *string { return &m.Version },
			"Desired version; default: any."),
		key("adapters", list(plainName()), "", func(m *Model) *[]string { return &m.Adapters },
			"Desired adapters."),
		key("role", plainName(), "", func(m *Model) *string { return &m.Role },
			"Desired role of the engines that serve it, as the engines announce it; default: any."),
		key("replicas", count(0, maxReplicas), "0", func(m *Model) *int { return &m.Replicas },
			"Desired number of engines; 0: all that announce the model."),
		key("spans", boolean(), "true", func(m *Model) *bool { return &m.Spans },
			"Whether prompts that do not fit one engine may be spread over several."),
	},
}

var serviceSchema = schema[Service]{
	kind:  "service",
	title: "[service.NAME]",
	help:  "Plain services. NAME is the part of the path after /v1/services/.",
	fields: []field[Service]{
		key("no_repeat", boolean(), "false", func(s *Service) *bool { return &s.NoRepeat },
			"Whether every call runs at most once."),
		key("deadline", duration(minServiceTimeout, maxDeadline), "10s",
			func(s *Service) *time.Duration { return &s.Deadline },
			"Maximum time from arrival to the final answer, unless that of the class is shorter."),
		key("in_flight", count(0, maxCount), "0", func(s *Service) *int { return &s.InFlight },
			"Maximum number of concurrent calls on one upstream; 0: no limit."),
	},
}
