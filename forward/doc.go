// Package forward forwards callers' calls unchanged to upstreams, by the routes of the settings.
// It decides where a call is sent, whether it may be sent again and which answer the caller
// gets. The only protocol that it implements is HTTP/1.1 framing: a Dialect translates the
// header fields.
package forward
