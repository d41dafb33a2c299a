package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/forward"
)

// commands returns all top-level commands. Instances open their connections to upstreams with dial; nil:
// TCP.
func commands(stdout, stderr io.Writer, dial forward.Dial) []*urfave.Command {
	return []*urfave.Command{
		serveCommand(stdout, stderr, dial),
		settingsCommand(stdout, stderr),
		reportCommand(stdout, stderr),
		burnCommand(stdout, stderr),
		addressesCommand(stdout, stderr),
		instancesCommand(stdout, stderr),
		upstreamsCommand(stdout, stderr),
		orderCommand(stdout, stderr),
		voterCommand(stdout, stderr),
		quarantineCommand(stdout, stderr),
		zoneCommand(stdout, stderr),
		loadCommand(stdout, stderr),
		standinCommand(stdout, stderr),
		benchCommand(stdout, stderr),
		eventsCommand(stdout),
		explainCommand(stdout, stderr),
		lossesCommand(stdout, stderr),
	}
}
