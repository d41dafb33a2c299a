package settings

import (
	"regexp"
	"time"
)

// addressPattern is a host, or an IP number, and a port.
var addressPattern = regexp.MustCompile(`^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):[0-9]{1,5}$`)

const addressAllowed = "host:port, the host as an IP number"

func address() value[string] { return text(addressAllowed, addressPattern) }

func path() value[string] { return text("a path, relative to the folder of this file", anythingOrNone) }

func duty() value[Duty] {
	words := oneOf(string(ServesCompletions), string(ServesForwarding), string(ServesControl))
	return value[Duty]{
		allowed: words.allowed,
		parse: func(text string) (Duty, error) {
			word, err := words.parse(text)
			return Duty(word), err
		},
	}
}

const (
	mostConnections = mega
	mostLosses      = 4
	mostTimeout     = time.Hour
	mostPool        = 100 * kilo
)

var processSchema = schema[Process]{
	kind:  "process",
	title: "[process]",
	help:  "What this process is.",
	fields: []field[Process]{
		key("name", plainName(), "", func(p *Process) *string { return &p.Name },
			"Name of the instance, unique in the fleet.").required(),
		key("availability_zone", plainName(), "", func(p *Process) *string { return &p.AvailabilityZone },
			"Availability zone that it runs in.").required(),
		key("region", plainName(), "", func(p *Process) *string { return &p.Region },
			"Region that it runs in."),
		key("serves", duty(), string(ServesCompletions), func(p *Process) *Duty { return &p.Serves },
			"What it does for callers: answer the completions interface, forward calls by the routes of the settings, or nothing but control."),
		key("voter", boolean(), "false", func(p *Process) *bool { return &p.Voter },
			"Whether it takes part in the control group; needs data_folder."),
		key("data_folder", path(), "", func(p *Process) *string { return &p.DataFolder },
			"Folder of everything that must survive a restart."),
		key("found", boolean(), "true", func(p *Process) *bool { return &p.Found },
			"Whether the instances of [voters] may found a new control group. False on every start but the first of a fleet whose voters are replaced by themselves: the addresses then only say whom to ask."),
		key("losses", count(0, mostLosses), "0", func(p *Process) *int { return &p.Losses },
			"Voters that may be lost at the same time. The leader then keeps twice as many and one by itself, as long as there are instances for them; 0: operators replace voters."),
		key("tree", path(), "", func(p *Process) *string { return &p.Tree },
			"Settings tree that is proposed if none was ever accepted."),
		key("log_level", oneOf("debug", "info", "warning", "error"), "info", func(p *Process) *string { return &p.LogLevel },
			"Least level of the events that are logged."),
	},
}

var listenSchema = schema[Process]{
	kind:  "listen",
	title: "[listen]",
	help:  "Where callers and upstreams connect.",
	fields: []field[Process]{
		key("address", address(), "", func(p *Process) *string { return &p.Listen },
			"Address that it listens on; must be given unless it serves control only."),
		key("advertise", address(), "", func(p *Process) *string { return &p.Advertise },
			"Address that callers are told; left out: address."),
		key("readiness", address(), "", func(p *Process) *string { return &p.Readiness },
			"Address that answers whether the instance takes traffic; left out: none."),
		key("directory", address(), "", func(p *Process) *string { return &p.Directory },
			"Address that answers which addresses callers may use; left out: none."),
		key("metrics", address(), "", func(p *Process) *string { return &p.Metrics },
			"Address of the metrics; left out: the traffic address."),
	},
}

var controlSchema = schema[Process]{
	kind:  "control",
	title: "[control]",
	help:  "Where the other instances and operators connect.",
	fields: []field[Process]{
		key("address", address(), "", func(p *Process) *string { return &p.ControlListen },
			"Address that it listens on.").required(),
		key("advertise", address(), "", func(p *Process) *string { return &p.ControlAdvertise },
			"Address that other instances are told; left out: address."),
	},
}

var keysSchema = schema[processKeys]{
	kind:  "keys",
	title: "[keys]",
	help:  "Keys are given as they are, or as file:PATH of a file that holds the key; PATH is relative to this file.",
	fields: []field[processKeys]{
		key("instance", secret(), "", func(k *processKeys) *string { return &k.instance },
			"Key that the instances share.").hidden().required(),
		key("operators", list(secret()), "", func(k *processKeys) *[]string { return &k.operators },
			"Keys of operators; must be given with the completions interface.").hidden(),
		key("upstreams", list(secret()), "", func(k *processKeys) *[]string { return &k.upstreams },
			"Keys of upstreams that announce themselves; must be given with the completions interface.").hidden(),
		key("engine", secret(), "", func(k *processKeys) *string { return &k.engine },
			"Key that is sent to upstreams; must be given with the completions interface.").hidden(),
	},
}

var poolsSchema = schema[Process]{
	kind:  "pools",
	title: "[pools]",
	help:  "Sizes of the worker pools. The length classes have pools of their own, so that long streams never hold the workers of short ones.",
	fields: []field[Process]{
		key("short", count(1, mostPool), "2k", func(p *Process) *int { return &p.Pools.Short }, "Workers of short prompts."),
		key("long", count(1, mostPool), "500", func(p *Process) *int { return &p.Pools.Long }, "Workers of long prompts."),
		key("service", count(1, mostPool), "500", func(p *Process) *int { return &p.Pools.Service }, "Workers of calls of plain services."),
	},
}

var limitsSchema = schema[Process]{
	kind:  "limits",
	title: "[limits]",
	help:  "Bounds of this process.",
	fields: []field[Process]{
		key("max_connections", count(1, mostConnections), "10k", func(p *Process) *int { return &p.MaxConnections },
			"Open connections of callers and upstreams."),
		key("read_timeout", duration(time.Millisecond, mostTimeout), "30s", func(p *Process) *time.Duration { return &p.ReadTimeout },
			"Time within which a caller's whole request must arrive."),
		key("drain_timeout", duration(time.Millisecond, mostTimeout), "10m", func(p *Process) *time.Duration { return &p.DrainTimeout },
			"Bound of a graceful shutdown."),
		key("repeat_ratio", number(0, 1), "0.2", func(p *Process) *float64 { return &p.RepeatRatio },
			"Sends beyond the first of each forwarded call, as a part of the calls for a service; by all instances together."),
		key("repeat_slack", count(0, mostPool), "100", func(p *Process) *int { return &p.RepeatSlack },
			"Repeats beyond that part, by all instances together."),
		key("repeat_window", duration(time.Second, mostTimeout), "10s", func(p *Process) *time.Duration { return &p.RepeatWindow },
			"Any span of this length counts for both."),
	},
}
