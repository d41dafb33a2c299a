package settings

import (
	"math"
	"regexp"
	"time"
)

// addressPattern matches a host name or IP address and a port.
var addressPattern = regexp.MustCompile(`^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):[0-9]{1,5}$`)

const addressAllowed = "host:port, the host as an IP number, the port from 1 to 65535"

// address accepts an address that others can be given, so the port is never left to the kernel.
func address() value[string] {
	pattern := text(addressAllowed, addressPattern)
	return value[string]{
		allowed: pattern.allowed,
		parse: func(s string) (string, error) {
			if _, err := pattern.parse(s); err != nil {
				return "", err
			}
			_, _, err := splitAddress(s)
			return s, err
		},
	}
}

func path() value[string] { return text("a path, relative to the folder of this file", anyPattern) }

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
	maxConnections = mega
	maxLosses      = 4
	maxTimeout     = time.Hour
	maxPool        = 100 * kilo
	minDescriptors = 64
	maxDescriptors = math.MaxInt32 // the kernel allows no higher limit

	// minMemory holds what an idle instance uses and the smallest bounds on bodies and answers.
	minMemory = 48 * mega
	maxMemory = 64000 * giga
)

var processSchema = schema[Process]{
	kind:  "process",
	title: "[process]",
	help:  "Identity and role of this process.",
	fields: []field[Process]{
		key("name", plainName(), "", func(p *Process) *string { return &p.Name },
			"Name of the instance, unique in the fleet.").required(),
		key("availability_zone", plainName(), "", func(p *Process) *string { return &p.AvailabilityZone },
			"Availability zone in which it runs.").required(),
		key("region", plainName(), "", func(p *Process) *string { return &p.Region },
			"Region in which it runs."),
		key("serves", duty(), string(ServesCompletions), func(p *Process) *Duty { return &p.Serves },
			"Role towards callers: serve the completions API, forward calls by the routes of the settings, or serve control only."),
		key("voter", boolean(), "false", func(p *Process) *bool { return &p.Voter },
			"Whether it is a voter of the control group; requires data_folder."),
		key("data_folder", path(), "", func(p *Process) *string { return &p.DataFolder },
			"Folder for all data that must survive a restart."),
		key("found", boolean(), "true", func(p *Process) *bool { return &p.MayFoundGroup },
			"Whether the instances of [voters] may found a new control group. In a fleet that replaces its voters automatically, set it to false after the first start: the addresses then only say which instances to ask for the current voters, and a voter that lost its disk helps to found no second group."),
		key("losses", count(0, maxLosses), "0", func(p *Process) *int { return &p.ToleratedLosses },
			"Number of voters that may be lost at the same time. The leader maintains twice as many voters plus one automatically, as far as there are instances for them; 0: operators replace voters."),
		key("tree", path(), "", func(p *Process) *string { return &p.Tree },
			"Settings tree that is proposed if no tree was ever accepted."),
		key("log_level", oneOf("debug", "info", "warning", "error"), "info", func(p *Process) *string { return &p.LogLevel },
			"Lowest level of events that are logged."),
	},
}

var listenSchema = schema[Process]{
	kind:  "listen",
	title: "[listen]",
	help:  "Addresses for callers and upstreams.",
	fields: []field[Process]{
		key("address", address(), "", func(p *Process) *string { return &p.Listen },
			"Address to listen on; mandatory unless the process serves control only."),
		key("advertise", address(), "", func(p *Process) *string { return &p.Advertise },
			"Address that is announced to callers; default: address."),
		key("readiness", address(), "", func(p *Process) *string { return &p.Readiness },
			"Address of the readiness check; default: none."),
		key("directory", address(), "", func(p *Process) *string { return &p.Directory },
			"Address that serves the list of addresses for callers; default: none."),
		key("metrics", address(), "", func(p *Process) *string { return &p.Metrics },
			"Address of the metrics; default: the traffic address."),
	},
}

var controlSchema = schema[Process]{
	kind:  "control",
	title: "[control]",
	help:  "Addresses for other instances and operators.",
	fields: []field[Process]{
		key("address", address(), "", func(p *Process) *string { return &p.ControlListen },
			"Address to listen on.").required(),
		key("advertise", address(), "", func(p *Process) *string { return &p.ControlAdvertise },
			"Address that is announced to other instances; default: address."),
	},
}

var keysSchema = schema[processKeys]{
	kind:  "keys",
	title: "[keys]",
	help:  "Keys are given literally, or as file:PATH, the path of a file with the key, relative to this file.",
	fields: []field[processKeys]{
		key("instance", secret(), "", func(k *processKeys) *string { return &k.instance },
			"Key that all instances share.").hidden().required(),
		key("operators", list(secret()), "", func(k *processKeys) *[]string { return &k.operators },
			"Keys of operators; mandatory if the completions API is served.").hidden(),
		key("upstreams", list(secret()), "", func(k *processKeys) *[]string { return &k.upstreams },
			"Keys of upstreams that announce themselves; mandatory if the completions API is served.").hidden(),
		key("engine", secret(), "", func(k *processKeys) *string { return &k.engine },
			"Key that is sent to upstreams; mandatory if the completions API is served.").hidden(),
	},
}

var poolsSchema = schema[Process]{
	kind:  "pools",
	title: "[pools]",
	help:  "Sizes of the worker pools. Short and long prompts have separate pools, so that long streams never occupy the workers of short ones.",
	fields: []field[Process]{
		key("short", count(1, maxPool), "2k", func(p *Process) *int { return &p.Pools.Short }, "Workers for short prompts."),
		key("long", count(1, maxPool), "500", func(p *Process) *int { return &p.Pools.Long }, "Workers for long prompts."),
		key("service", count(1, maxPool), "500", func(p *Process) *int { return &p.Pools.Service }, "Workers for calls to plain services."),
	},
}

var limitsSchema = schema[Process]{
	kind:  "limits",
	title: "[limits]",
	help:  "Limits of this process.",
	fields: []field[Process]{
		key("max_connections", count(1, maxConnections), "10k", func(p *Process) *int { return &p.MaxConnections },
			"Maximum number of open connections from callers and upstreams."),
		key("memory", sizeLimit(minMemory, maxMemory), "", func(p *Process) *int64 { return &p.MemoryLimit },
			"Limit of the deployment on the memory of this process, which is ended if it uses more. The bounds on the memory follow the smallest of this limit, the memory of the machine and the limits that the kernel sets on the process; default: not stated."),
		key("descriptors", countLimit(minDescriptors, maxDescriptors), "", func(p *Process) *int { return &p.Descriptors },
			"Limit of the deployment on the open files and connections of this process. Connections that others open are refused from a part of the smaller of this limit and that of the kernel on; default: not stated."),
		key("read_timeout", duration(time.Millisecond, maxTimeout), "30s", func(p *Process) *time.Duration { return &p.ReadTimeout },
			"Maximum time to receive a caller's whole request."),
		key("drain_timeout", duration(time.Millisecond, maxTimeout), "10m", func(p *Process) *time.Duration { return &p.DrainTimeout },
			"Maximum duration of a graceful shutdown. An instance that serves completions may take up to 9s more to copy its counters and to leave the control group; what ends processes has to leave it that time."),
		key("repeat_ratio", number(0, 1), "0.2", func(p *Process) *float64 { return &p.RepeatRatio },
			"Repeated sends of forwarded calls, as a fraction of the calls for a service, over all instances."),
		key("repeat_slack", fractionalCount(maxPool), "100", func(p *Process) *float64 { return &p.RepeatSlack },
			"Repeated sends allowed beyond that fraction, over all instances."),
		key("repeat_window", duration(time.Second, maxTimeout), "10s", func(p *Process) *time.Duration { return &p.RepeatWindow },
			"Sliding window over which repeat_ratio and repeat_slack are enforced."),
		key("idle_memory", duration(0, maxTimeout), "0s", func(p *Process) *time.Duration { return &p.IdleMemory },
			"How long memory of an engine may be reserved for a prompt and not be used by it; 0s: without a bound of its own, until the call ends."),
		key("organisation_shares", boolean(), "false", func(p *Process) *bool { return &p.OrganisationShares },
			"Whether forwarded prompts share the engines by the weights of their organisations while engines are short. Set it to the same value on all instances."),
	},
}
