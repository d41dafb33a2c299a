// Package standin holds the project's own small upstreams: a model engine that
// answers prompts by a known function, timed by package enginemodel, and a plain
// service that counts what it executes. They speak the protocol of package wire,
// announce themselves like real upstreams, and have switches for the faults that
// real ones show. Both run as processes and as libraries inside tests.
package standin
