package cli

import (
	"net/http"
	"time"

	"celeryport/control"
	"celeryport/instance"
	"celeryport/platform"
)

// platformAdapter returns the adapter for the platform's protocols.
func platformAdapter() *instance.Adapter {
	return &instance.Adapter{
		Dialect:       platform.Dialect{},
		Parse:         platform.ParseDocument,
		ControlPrefix: platform.ControlPrefix,
		Control: func(node *control.Node) http.Handler {
			return platform.ControlHandler(node, node, node)
		},
		Directory: func(addresses func(string) []string, keep time.Duration) http.Handler {
			return platform.DirectoryHandler(addresses, keep)
		},
	}
}
