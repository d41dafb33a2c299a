package settings

import "strings"

// field describes one key of a section: its name, default and allowed values, and
// how to store its value in the section's struct.
type field[T any] struct {
	name        string
	defaultText string // default in text form, empty: none
	allowed     string
	help        string
	local       bool // not inherited by descendants
	mandatory   bool
	secret      bool // value is never included in a fault
	set         func(target *T, text string) error
	reset       func(target *T)
	get         func(target *T) any
}

// key returns the field called name; locate returns where its value is stored.
func key[T, V any](name string, v value[V], defaultText string, locate func(*T) *V, help string) field[T] {
	return field[T]{
		name:        name,
		defaultText: defaultText,
		allowed:     v.allowed,
		help:        help,
		set: func(target *T, text string) error {
			parsed, err := v.parse(text)
			if err != nil {
				return err
			}
			*locate(target) = parsed
			return nil
		},
		reset: func(target *T) {
			var zero V
			*locate(target) = zero
		},
		get: func(target *T) any { return *locate(target) },
	}
}

// notInherited marks a key that descendants do not inherit.
func (f field[T]) notInherited() field[T] {
	f.local = true
	return f
}

// required marks a mandatory key.
func (f field[T]) required() field[T] {
	f.mandatory = true
	return f
}

// hidden marks a secret: faults are printed on terminals and in logs, so they
// must not include its value.
func (f field[T]) hidden() field[T] {
	f.secret = true
	return f
}

// problem returns the fault text for an invalid value.
func (f field[T]) problem(text string) string {
	if f.secret {
		return "value does not fit"
	}
	return "value " + quote(text) + " does not fit"
}

// schema describes one kind of section.
type schema[T any] struct {
	kind   string // first part of the section's name
	title  string
	help   string
	fields []field[T]
}

// defaults returns the values of a section without keys. It panics if the parser
// of a field rejects the field's default, which is a programming error.
func (s *schema[T]) defaults() T {
	var target T
	s.setDefaults(&target)
	return target
}

func (s *schema[T]) setDefaults(target *T) {
	for _, f := range s.fields {
		if f.defaultText == "" {
			continue
		}
		if err := f.set(target, f.defaultText); err != nil {
			panic("settings: default of " + s.kind + "." + f.name + " is not allowed")
		}
	}
}

// decode applies the keys of one section to target, which already holds the
// inherited values.
func (s *schema[T]) decode(target *T, sec section, faults *collector) {
	for _, k := range sec.keys {
		s.decodeKey(target, sec, k, faults)
	}
	for _, f := range s.fields {
		if f.mandatory && !sec.has(f.name) {
			faults.add(sec.name, f.name, "key is missing", f.allowed)
		}
	}
}

func (s *schema[T]) decodeKey(target *T, sec section, k keyValue, faults *collector) {
	f := s.find(k.name)
	if f == nil {
		faults.add(sec.name, k.name, "unknown key", s.names())
		return
	}
	if k.repeated {
		faults.add(sec.name, k.name, "key is given twice", "each key once")
		return
	}
	if err := f.set(target, k.text); err != nil {
		faults.add(sec.name, k.name, f.problem(k.text), f.allowed)
	}
}

// inherit returns the values that a child branch inherits from parent.
func (s *schema[T]) inherit(parent T) T {
	for _, f := range s.fields {
		if f.local {
			f.reset(&parent)
		}
	}
	return parent
}

func (s *schema[T]) find(name string) *field[T] {
	for i := range s.fields {
		if s.fields[i].name == name {
			return &s.fields[i]
		}
	}
	return nil
}

func (s *schema[T]) names() string {
	names := make([]string, 0, len(s.fields))
	for _, f := range s.fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
