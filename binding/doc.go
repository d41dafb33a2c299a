// Package binding opens the sockets an instance listens on. An address that can't be bound for
// now, such as one that another process still holds, is waited for; an address that this host can
// never bind is refused at once.
package binding
