// Package main holds the stand-ins of the review: servers, clients and the operator of a small
// deployment, and a runner that starts the deployment's own processes for one case.
//
//	standin server FLAGS      one server process
//	standin case NAME FOLDER  plays a case and writes FOLDER/record.txt
//
// The exit status of a case is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(statusNotRun)
		}
		return
	}
	if len(os.Args) == 4 && os.Args[1] == "case" {
		os.Exit(runCase(os.Args[2], os.Args[3]))
	}
	fmt.Fprintln(os.Stderr, "usage: standin server FLAGS | standin case NAME FOLDER")
	os.Exit(statusNotRun)
}
