// Package planner computes what the engines of a service could have read in time if
// somebody had known all calls beforehand. It is an upper bound for every policy: engine
// time is divided at will, and nothing else is short. It is pure.
package planner
