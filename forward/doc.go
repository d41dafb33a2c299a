// Package forward passes callers' calls on to upstreams without changing them,
// by the routes of the settings. It decides where a call goes, what may be sent
// again, and what the caller is told, and it knows no protocol but HTTP/1.1
// framing: a Dialect translates the header fields.
package forward
