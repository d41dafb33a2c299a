package settings

import "time"

const (
	minBody        = kilo
	maxBody        = giga
	minKeyLifetime = time.Minute
	maxKeyLifetime = 30 * 24 * time.Hour
	minFresh       = 500 * time.Millisecond
	maxFresh       = time.Minute
	maxKeepSeconds = 3600
	minSilence     = 1500 * time.Millisecond // three heartbeats, so that one late packet does not end a healthy stream
)

var fleetSchema = schema[Fleet]{
	kind:  "fleet",
	title: "[fleet]",
	help:  "Settings of the whole fleet.",
	fields: []field[Fleet]{
		key("default_class", branchName(), "", func(f *Fleet) *string { return &f.DefaultClass },
			"Class of requests that name no class; if unset, such requests are rejected."),
		key("body_limit", size(minBody, maxBody), "64MB", func(f *Fleet) *int64 { return &f.BodyLimit },
			"Maximum size of a caller's request body."),
		key("key_lifetime", duration(minKeyLifetime, maxKeyLifetime), "24h",
			func(f *Fleet) *time.Duration { return &f.KeyLifetime },
			"Lifetime of an idempotency key."),
		key("order_lifetime", duration(minKeyLifetime, maxKeyLifetime), "24h",
			func(f *Fleet) *time.Duration { return &f.OrderLifetime },
			"How long the id of an operator's order is kept, so that a repeated order is recognised."),
		key("keep_seconds", integer(1, maxKeepSeconds), "10", func(f *Fleet) *int { return &f.KeepSeconds },
			"How long callers may cache the address list, in seconds."),
		key("fresh_for", duration(minFresh, maxFresh), "3s", func(f *Fleet) *time.Duration { return &f.FreshFor },
			"An upstream that is silent for longer gets no new requests."),
		key("stream_silence", duration(minSilence, maxFresh), "3s",
			func(f *Fleet) *time.Duration { return &f.StreamSilence },
			"Silence after which a stream is considered dead. Upstreams send heartbeats every 500ms."),
	},
}
