// Package instance assembles an instance from the packages of the system: the control node,
// the server for callers, the ledger and the metrics. The daemon is a thin command line
// around it.
package instance
