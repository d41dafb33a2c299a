// Package order brings the engines to what the settings tree wishes: which
// models, adapters and versions they serve. Reconciler is pure and decides;
// Driver talks to the engines. It runs only on the instance that leads the
// control group and holds the issuer's place, and compares wishes with what the
// engines say, again and again: an order that was lost, or one that a frozen
// former issuer sent too late, is made good by the next round.
package order
