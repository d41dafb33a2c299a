package settings

import "strings"

// field is one key of a section: its name, its default, what is allowed, and
// where in the section's struct its value goes.
type field[T any] struct {
	name    string
	initial string // default in text form, empty: none
	allowed string
	help    string
	own     bool // not inherited by the branches below
	needed  bool // must be given
	secret  bool // never repeated in a fault
	set     func(target *T, text string) error
	reset   func(target *T)
}

// key describes one key of a section.
func key[T, V any](name string, v value[V], initial string, at func(*T) *V, help string) field[T] {
	return field[T]{
		name:    name,
		initial: initial,
		allowed: v.allowed,
		help:    help,
		set: func(target *T, text string) error {
			parsed, err := v.parse(text)
			if err != nil {
				return err
			}
			*at(target) = parsed
			return nil
		},
		reset: func(target *T) {
			var zero V
			*at(target) = zero
		},
	}
}

// notInherited marks a key that belongs to its own branch only.
func (f field[T]) notInherited() field[T] {
	f.own = true
	return f
}

// required marks a key that must be given.
func (f field[T]) required() field[T] {
	f.needed = true
	return f
}

// hidden marks a key whose value must not reach a terminal or a log, where
// anyone who reads a fault could use it.
func (f field[T]) hidden() field[T] {
	f.secret = true
	return f
}

// problem describes a value that does not fit.
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

// defaults returns the struct that a section without any key has. A default
// that its own parser refuses is a fault of the program.
func (s *schema[T]) defaults() T {
	var target T
	s.setDefaults(&target)
	return target
}

func (s *schema[T]) setDefaults(target *T) {
	for _, f := range s.fields {
		if f.initial == "" {
			continue
		}
		if err := f.set(target, f.initial); err != nil {
			panic("settings: default of " + s.kind + "." + f.name + " is not allowed")
		}
	}
}

// decode applies the keys of one section to target, which holds what it
// inherits.
func (s *schema[T]) decode(target *T, sec section, faults *collector) {
	for _, k := range sec.keys {
		s.decodeKey(target, sec, k, faults)
	}
	for _, f := range s.fields {
		if f.needed && !sec.has(f.name) {
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

// inherit returns what a branch takes from its parent.
func (s *schema[T]) inherit(parent T) T {
	for _, f := range s.fields {
		if f.own {
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
