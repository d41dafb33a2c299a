package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// errNotAllowed is returned by parsers for invalid text; the fault then lists the
// allowed values.
var errNotAllowed = errors.New("value is not allowed")

// value is a type of value: its parser and a description of what it allows.
type value[V any] struct {
	allowed string
	parse   func(text string) (V, error)
}

// boolean accepts only true and false.
func boolean() value[bool] {
	return value[bool]{
		allowed: "true or false",
		parse: func(text string) (bool, error) {
			switch text {
			case "true":
				return true, nil
			case "false":
				return false, nil
			}
			return false, errNotAllowed
		},
	}
}

// number accepts a decimal number between two bounds.
func number(minimum, maximum float64) value[float64] {
	return value[float64]{
		allowed: fmt.Sprintf("a number from %g to %g", minimum, maximum),
		parse: func(text string) (float64, error) {
			return parseNumber(text, minimum, maximum)
		},
	}
}

// integer accepts a whole number between two bounds.
func integer(minimum, maximum int) value[int] {
	return value[int]{
		allowed: fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		parse: func(text string) (int, error) {
			n, err := strconv.Atoi(text)
			if err != nil || n < minimum || n > maximum {
				return 0, errNotAllowed
			}
			return n, nil
		},
	}
}

// parseNumber rejects the NaN that ParseFloat accepts: NaN compares false with
// every bound and would silently disable a limit.
func parseNumber(text string, minimum, maximum float64) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	inside := n >= minimum && n <= maximum
	if err != nil || !inside {
		return 0, errNotAllowed
	}
	return n, nil
}

// oneOf accepts one of the given words.
func oneOf(words ...string) value[string] {
	return value[string]{
		allowed: "one of " + strings.Join(words, ", "),
		parse: func(text string) (string, error) {
			for _, word := range words {
				if text == word {
					return word, nil
				}
			}
			return "", errNotAllowed
		},
	}
}

// text accepts a string that matches a pattern.
func text(allowed string, pattern *regexp.Regexp) value[string] {
	return value[string]{
		allowed: allowed,
		parse: func(s string) (string, error) {
			if !pattern.MatchString(s) {
				return "", errNotAllowed
			}
			return s, nil
		},
	}
}

// list accepts a comma-separated list, possibly empty.
func list[V any](item value[V]) value[[]V] {
	return value[[]V]{
		allowed: "a comma-separated list, each " + item.allowed,
		parse: func(s string) ([]V, error) {
			var all []V
			for part := range strings.SplitSeq(s, ",") {
				part = strings.TrimSpace(part)
				if part == "" && strings.TrimSpace(s) == "" {
					break
				}
				v, err := item.parse(part)
				if err != nil {
					return nil, err
				}
				all = append(all, v)
			}
			return all, nil
		},
	}
}

// optional accepts the same texts as v and yields a pointer, so that a key that is
// not given (nil) can be told from one with a zero value.
func optional[V any](v value[V]) value[*V] {
	return value[*V]{
		allowed: v.allowed,
		parse: func(s string) (*V, error) {
			parsed, err := v.parse(s)
			if err != nil {
				return nil, err
			}
			return &parsed, nil
		},
	}
}
