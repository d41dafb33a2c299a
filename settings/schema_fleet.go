package settings

import "time"

const (
	leastBody        = kilo
	mostBody         = giga
	leastKeyLifetime = time.Minute
	mostKeyLifetime  = 30 * 24 * time.Hour
	leastFresh       = 500 * time.Millisecond
	mostFresh        = time.Minute
	mostKeepSeconds  = 3600
	leastSilence     = 1500 * time.Millisecond // three heartbeats: one late packet must not cut a healthy stream
)

var fleetSchema = schema[Fleet]{
	kind:  "fleet",
	title: "[fleet]",
	help:  "Settings that are not of one branch.",
	fields: []field[Fleet]{
		key("default_class", branchName(), "", func(f *Fleet) *string { return &f.DefaultClass },
			"Class of requests that name none; left out: such requests are refused."),
		key("body_limit", size(leastBody, mostBody), "64MB", func(f *Fleet) *int64 { return &f.BodyLimit },
			"Largest body of a caller's request."),
		key("key_lifetime", duration(leastKeyLifetime, mostKeyLifetime), "24h",
			func(f *Fleet) *time.Duration { return &f.KeyLifetime },
			"Lifetime of an idempotency key."),
		key("order_lifetime", duration(leastKeyLifetime, mostKeyLifetime), "24h",
			func(f *Fleet) *time.Duration { return &f.OrderLifetime },
			"How long the id of an operator's order is remembered."),
		key("keep_seconds", integer(1, mostKeepSeconds), "10", func(f *Fleet) *int { return &f.KeepSeconds },
			"How long callers may keep an address list, in seconds."),
		key("fresh_for", duration(leastFresh, mostFresh), "3s", func(f *Fleet) *time.Duration { return &f.FreshFor },
			"An upstream that is silent for longer gets no new work."),
		key("stream_silence", duration(leastSilence, mostFresh), "3s",
			func(f *Fleet) *time.Duration { return &f.StreamSilence },
			"Silence after which a stream counts as dead. Upstreams send heartbeats every 500ms."),
	},
}
