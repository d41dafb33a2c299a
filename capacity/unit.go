package capacity

import (
	"fmt"
	"strconv"
)

// Unit is what a value counts.
type Unit int

// The units of the page.
const (
	Bytes Unit = iota
	BytesPerSecond
	CallsPerSecond
	Cores // processor seconds a second
	SyncsPerSecond
	BytesPerDay
	Instances
	PerSecond
)

// format returns a value of the unit as the page shows it.
func (u Unit) format(value float64) string {
	switch u {
	case Bytes:
		return scaled(value, "B")
	case BytesPerSecond:
		return scaled(value, "B/s")
	case BytesPerDay:
		return scaled(value, "B/day")
	case CallsPerSecond:
		return number(value) + " calls/s"
	case SyncsPerSecond:
		return number(value) + " syncs/s"
	case Cores:
		return number(100*value) + "% of a core"
	case Instances:
		return number(value) + " instances"
	default:
		return number(value) + "/s"
	}
}

// scaled shows bytes with a decimal prefix.
func scaled(value float64, unit string) string {
	switch {
	case value >= 1e9:
		return number(value/1e9) + " G" + unit
	case value >= 1e6:
		return number(value/1e6) + " M" + unit
	case value >= 1e3:
		return number(value/1e3) + " k" + unit
	}
	return number(value) + " " + unit
}

// number shows three significant digits.
func number(value float64) string {
	text := strconv.FormatFloat(value, 'g', 3, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

// percent shows a part of a whole.
func percent(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) }

// smallPercent shows a small part of a whole.
func smallPercent(part float64) string { return number(100*part) + "%" }

func millions(value float64) float64 { return value / 1e6 }

// micro turns nanoseconds into microseconds.
func micro(nanoseconds float64) float64 { return nanoseconds / 1e3 }
