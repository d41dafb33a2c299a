// Package loadshare lets instances tell each other what they have under way at
// each upstream, so that all of them choose by nearly the same loads.
//
// An upstream's own report of its load is some hundred milliseconds old and costs
// a call. What the instances have sent is known to them at once: each tells the
// others the changes, and all of it now and then, in datagrams that may be lost.
// The package is pure; a driver sends and receives.
package loadshare
