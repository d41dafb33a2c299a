// Package endings estimates how likely engines are to terminate, from the terminations that were
// observed recently. It does no I/O and reads no clock.
package endings
