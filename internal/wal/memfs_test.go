package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

var errInjected = errors.New("injected fault")

// memFile is an in-memory file.
type memFile struct {
	data   []byte // as seen by the process
	synced []byte // content that is certain to survive a crash
}

// memFS is an in-memory file system with fault injection. crash returns its state after a power failure.
type memFS struct {
	files             map[string]*memFile // as seen by the process
	durable           map[string]*memFile // directory entries that survive a crash
	locked            bool
	ops               int  // modifying operations so far
	failAt            int  // number of the operation that fails; 0: none
	short             bool // a failing write is a short write without an error
	failModifications bool // all modifying operations fail
	failAfterFault    bool // the operation that fails sets failModifications
	freeBytes         int  // bytes of free disk space; 0: unlimited, negative: none
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// countOp counts a modifying operation. It fails if the operation is number failAt or failModifications is set.
func (m *memFS) countOp() error {
	m.ops++
	if m.failModifications {
		return errInjected
	}
	if m.ops == m.failAt {
		m.failModifications = m.failAfterFault
		return errInjected
	}
	return nil
}

// crash returns the file system after a power failure. Of each file it keeps the synced data and the
// first keepBytes bytes that were written after the last sync.
func (m *memFS) crash(keepBytes int) *memFS {
	after := newMemFS()
	for name, f := range m.durable {
		data := slices.Clone(f.synced)
		if bytes.HasPrefix(f.data, f.synced) {
			data = slices.Clone(f.data[:min(len(f.data), len(f.synced)+keepBytes)])
		}
		nf := &memFile{data: data, synced: data}
		after.files[name], after.durable[name] = nf, nf
	}
	return after
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[name] = f
	return &memHandle{fs: m, file: f}, nil
}

func (m *memFS) Append(name string) (File, error) {
	return &memHandle{fs: m, file: m.files[name]}, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	if err := m.countOp(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = slices.Clone(f.data[:size])
	f.synced = slices.Clone(f.data)
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.durable = map[string]*memFile{}
	for name, f := range m.files {
		m.durable[name] = f
	}
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locked {
		return nil, fmt.Errorf("%s is locked", name)
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ fs *memFS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

// Write appends p. A failing write appends the first half of p, and returns no error if short is set.
func (h *memHandle) Write(p []byte) (int, error) {
	if err := h.fs.countOp(); err != nil {
		h.file.data = append(h.file.data, p[:len(p)/2]...)
		if h.fs.short {
			return len(p) / 2, nil
		}
		return len(p) / 2, err
	}
	n := h.fs.reserve(len(p))
	h.file.data = append(h.file.data, p[:n]...)
	if n < len(p) {
		return n, unix.ENOSPC
	}
	return n, nil
}

// reserve reserves disk space for a write of n bytes and returns how many of them fit.
func (m *memFS) reserve(n int) int {
	switch {
	case m.freeBytes == 0:
		return n
	case n >= m.freeBytes:
		n = max(m.freeBytes, 0)
		m.freeBytes = -1
	default:
		m.freeBytes -= n
	}
	return n
}

func (h *memHandle) Sync() error {
	if err := h.fs.countOp(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *memHandle) Close() error { return nil }
