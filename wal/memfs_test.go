package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
)

var errCrashed = errors.New("the machine lost power")

// memFS simulates a disk with a kernel page cache. A power failure loses unsynced
// data except for a random part. A failed sync marks its pages as clean without
// writing them, as kernels do.
type memFS struct {
	names   map[string]*memFile // files as seen by processes
	durable map[string]*memFile // files after a power failure
	locked  map[string]bool
	rng     *rand.Rand
	// steps is decremented with each change; at zero the machine loses power.
	// Negative means never.
	steps    int
	space    int // remaining space in bytes; negative means no limit
	failSync bool
}

type memFile struct {
	fs      *memFS
	data    []byte
	durable []byte
	lost    int // bytes after durable that no later sync writes
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		names: map[string]*memFile{}, durable: map[string]*memFile{}, locked: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 3)), steps: -1, space: -1,
	}
}

func (m *memFS) change() error {
	if m.steps == 0 {
		return errCrashed
	}
	m.steps--
	return nil
}

// powerFailure drops unsynced data.
func (m *memFS) powerFailure() {
	m.names = maps.Clone(m.durable)
	for _, f := range m.names {
		tail := f.data[min(len(f.durable)+f.lost, len(f.data)):]
		if f.lost > 0 {
			tail = nil
		}
		f.data = append(slices.Clone(f.durable), tail[:m.rng.IntN(len(tail)+1)]...)
		f.durable, f.lost = slices.Clone(f.data), 0
	}
	m.restart()
}

// restart ends only the process; the page cache is kept.
func (m *memFS) restart() {
	m.locked = map[string]bool{}
	m.steps, m.space, m.failSync = -1, -1, false
}

func (m *memFS) Append(name string) (File, error) {
	if f, ok := m.names[name]; ok {
		return f, nil
	}
	return m.Create(name)
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.change(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.names[name] = f
	return f, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) ReadFolder(folder string) ([]string, error) {
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == folder {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) MakeFolder(string) error { return nil }

func (m *memFS) SyncFolder(folder string) error {
	if err := m.change(); err != nil {
		return err
	}
	maps.DeleteFunc(m.durable, func(name string, _ *memFile) bool { return filepath.Dir(name) == folder })
	for name, f := range m.names {
		if filepath.Dir(name) == folder {
			m.durable[name] = f
		}
	}
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.change(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	if m.rng.IntN(2) == 0 { // a kernel may write names early
		return m.makeDurable(from, to)
	}
	return nil
}

func (m *memFS) makeDurable(from, to string) error {
	m.durable[to] = m.names[to]
	delete(m.durable, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.change(); err != nil {
		return err
	}
	delete(m.names, name)
	if m.rng.IntN(2) == 0 {
		delete(m.durable, name)
	}
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locked[name] {
		return nil, syscall.EWOULDBLOCK
	}
	m.locked[name] = true
	return memLock{m, name}, nil
}

type memLock struct {
	fs   *memFS
	name string
}

func (l memLock) Close() error {
	delete(l.fs.locked, l.name)
	return nil
}

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.fs.change(); err != nil {
		f.data = append(f.data, p[:f.fs.rng.IntN(len(p)+1)]...)
		return 0, err
	}
	if f.fs.space >= 0 && f.fs.space < len(p) {
		f.data = append(f.data, p[:f.fs.space]...)
		return f.fs.space, syscall.ENOSPC
	}
	if f.fs.space >= 0 {
		f.fs.space -= len(p)
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.change(); err != nil {
		return err
	}
	if f.fs.failSync {
		f.lost = len(f.data) - len(f.durable)
		return syscall.EIO
	}
	if f.lost == 0 {
		f.durable = slices.Clone(f.data)
	}
	return nil
}

func (f *memFile) Close() error { return nil }
