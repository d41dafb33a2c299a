// Package standin implements small upstreams for tests and trials: a model engine
// whose answers are a known function of the prompt, with the timing of package
// enginemodel, and a plain service that counts the calls it executes. They use the
// protocol of package wire, announce themselves like real upstreams, and can inject
// the faults of real upstreams. Both run as processes and inside tests.
package standin
