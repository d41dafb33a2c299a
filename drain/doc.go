// Package drain decides which calls an instance that is stopping still takes: those that end in time by their deadlines.
// It does no I/O; all functions take the time as an argument.
package drain
