// Package signals catches SIGHUP, SIGINT and SIGTERM from the first moment of an instance on.
// By default each of them ends a process, so that a request to reload the settings that arrives
// during the start would end it without a line in the log. What arrives before there is a
// consumer is kept and delivered to the first one.
//
// Three steps close the window. Where cgo is available, a C constructor ignores SIGHUP before the
// Go runtime starts; nothing is lost by that, since the settings are read later. The initialisation
// of this package, which imports little and therefore comes early, catches the signals. A consumer
// receives them. Until the first step SIGHUP has the default action, until the second one SIGINT
// and SIGTERM have it: the process ends as asked, but without a line.
package signals

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// InstanceCommand is the command whose signals are caught from the start. The other commands keep
// the default actions, as users of a command line expect.
const InstanceCommand = "serve"

// process passes on the signals of this process.
var process = newDispatcher()

var catchOnce sync.Once

//nolint:gochecknoinits // a signal that arrives before main has the default action otherwise
func init() {
	if len(os.Args) > 1 && os.Args[1] == InstanceCommand {
		Catch()
	}
}

// Catch catches the signals and keeps them until there is a consumer. It also ignores SIGPIPE,
// which the runtime raises when a write to standard output or standard error finds no reader; such
// a write then fails like any other.
func Catch() {
	catchOnce.Do(func() {
		signal.Ignore(syscall.SIGPIPE)
		hangUps, stops := make(chan os.Signal, keptHangUps), make(chan os.Signal, keptStops)
		signal.Notify(hangUps, syscall.SIGHUP)
		signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			for {
				select {
				case s := <-hangUps:
					process.deliver(s)
				case s := <-stops:
					process.deliver(s)
				}
			}
		}()
	})
}

// Consume starts to receive the signals of the process, beginning with those that were kept. All
// consumers receive all signals.
func Consume() *Consumer {
	Catch()
	return process.add()
}
