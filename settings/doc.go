// Package settings parses and validates the two kinds of INI settings files: the
// settings of one process, and the fleet-wide tree of organisations, classes and
// rules. It also validates and indexes forwarding documents.
package settings
