package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// errNotAllowed is returned by parsers when the text does not fit; the fault
// then names what is allowed.
var errNotAllowed = errors.New("value is not allowed")

// value is one kind of value: how it is parsed and what is allowed.
type value[V any] struct {
	allowed string
	parse   func(text string) (V, error)
}

// boolean is true or false and nothing else.
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

// number is a decimal number between two bounds.
func number(least, most float64) value[float64] {
	return value[float64]{
		allowed: fmt.Sprintf("a number from %g to %g", least, most),
		parse: func(text string) (float64, error) {
			return parseNumber(text, least, most)
		},
	}
}

// integer is a whole number between two bounds.
func integer(least, most int) value[int] {
	return value[int]{
		allowed: fmt.Sprintf("a whole number from %d to %d", least, most),
		parse: func(text string) (int, error) {
			n, err := strconv.Atoi(text)
			if err != nil || n < least || n > most {
				return 0, errNotAllowed
			}
			return n, nil
		},
	}
}

// parseNumber refuses what ParseFloat takes besides decimal numbers: not-a-number
// compares false with every bound and would switch off a limit without a word.
func parseNumber(text string, least, most float64) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	inside := n >= least && n <= most
	if err != nil || !inside {
		return 0, errNotAllowed
	}
	return n, nil
}

// oneOf is one of a few words.
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

// text is a string that matches a pattern.
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

// list is a comma-separated list, possibly empty.
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

// optional is a value that overrides another one only where it is given.
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
