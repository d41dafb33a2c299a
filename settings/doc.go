// Package settings reads and checks the two kinds of INI files: the settings of
// one process and the operators' tree of organisations, classes and rules.
package settings
