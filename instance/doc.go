// Package instance assembles one entry instance from the library's parts: the
// control side, the caller side, the ledger and the metrics. The daemon is a
// thin command line around it.
package instance
