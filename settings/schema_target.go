package settings

import "time"

const (
	mostReplicas        = 10 * kilo
	leastUpTo           = 1
	leastServiceTimeout = time.Millisecond
)

var lengthSchema = schema[Length]{
	kind:  "length",
	title: "[length.NAME]",
	help: "Length classes of prompts, by estimated tokens. At least one is needed. " +
		"A prompt that is longer than all of them belongs to the longest.",
	fields: []field[Length]{
		key("up_to", count(leastUpTo, mostTokens), "", func(l *Length) *int { return &l.UpTo },
			"Longest prompt of the class, in tokens.").required(),
		key("long", boolean(), "false", func(l *Length) *bool { return &l.Long },
			"Whether prompts of the class may block short ones and use the long lane."),
	},
}

var modelSchema = schema[Model]{
	kind:  "model",
	title: "[model.NAME]",
	help:  "Models that engines serve. NAME is what callers give as model; it may hold dots.",
	fields: []field[Model]{
		key("version", plainName(), "", func(m *Model) *string { return &m.Version },
			"Wished version; left out: whatever the engine has."),
		key("adapters", list(plainName()), "", func(m *Model) *[]string { return &m.Adapters },
			"Wished adapters."),
		key("role", plainName(), "", func(m *Model) *string { return &m.Role },
			"Wished role of the engines that serve it, as they name it; left out: whatever the engine has."),
		key("replicas", count(0, mostReplicas), "0", func(m *Model) *int { return &m.Replicas },
			"Wished number of engines; 0: all that announce the model."),
		key("spans", boolean(), "true", func(m *Model) *bool { return &m.Spans },
			"Whether prompts larger than one engine may be spread over several."),
	},
}

var serviceSchema = schema[Service]{
	kind:  "service",
	title: "[service.NAME]",
	help:  "Plain services. NAME is the part of the path behind /v1/services/.",
	fields: []field[Service]{
		key("no_repeat", boolean(), "false", func(s *Service) *bool { return &s.NoRepeat },
			"Whether every call runs at most once."),
		key("deadline", duration(leastServiceTimeout, mostDeadline), "10s",
			func(s *Service) *time.Duration { return &s.Deadline },
			"Time from arrival to the final answer, where the class gives no shorter one."),
		key("in_flight", count(0, mostCount), "0", func(s *Service) *int { return &s.InFlight },
			"Calls in flight on one upstream; 0: no limit."),
	},
}
