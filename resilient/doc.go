// Package resilient wraps listening sockets so that their users end only when the socket is closed
// or no longer works. Servers of libraries end at errors that pass, such as a shortage of buffers,
// a connection that a firewall rejects or, in one of them, a process without a free file
// descriptor.
package resilient
