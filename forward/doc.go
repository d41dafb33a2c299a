// Package forward forwards callers' calls unchanged to upstreams, by the routes of the settings.
// It decides where a call is sent, whether it may be sent again and which answer the caller
// gets. The only protocol that it implements is HTTP/1.1 framing: a Dialect translates the
// header fields.
//
// Terms: an engine reads a prompt, or a part of it, when it prefills it. The lead engine of a call
// receives the call and decodes the answer, and each of its helpers reads a part of the prompt. An
// ask is a request to the arbiter of a service to place a long prompt (see arbiter.Request).
package forward
