// Package losses says from the logs of instances where answers that were due in time
// were lost: which route, by which cause, at which moment. It is pure; operators have
// it without anything else that watches the fleet.
package losses
