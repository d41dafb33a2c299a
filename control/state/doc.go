// Package state is the replicated state machine of the control group: the
// accepted settings, the operators' order ids and the issuer of engine orders.
// It is pure: every voter feeds it the same log entries and reaches the same
// state. Time enters only as the leader's stamp inside a command.
package state
