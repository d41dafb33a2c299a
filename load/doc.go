// Package load is a load generator for entry instances. It sends the requests that
// the callers of a deployment would send: in an open loop, with realistic prompt
// sizes, and to the addresses that the instances publish. It checks every answer
// and reports how many requests were served, refused, failed, lost, doubled
// (executed twice) or crossed (answered with a wrong text).
package load
