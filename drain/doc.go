// Package drain decides which calls an instance that is stopping can still finish, from how long such calls
// have taken lately. It does no I/O; all functions take the time as an argument.
package drain
