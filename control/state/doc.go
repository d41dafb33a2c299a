// Package state is the replicated state machine of the control group. It holds the accepted
// settings, the ids of operators' orders and the issuer of engine orders. It is
// deterministic: every voter applies the same log entries and reaches the same state. The
// only source of time is the leader's timestamp in each command.
package state
