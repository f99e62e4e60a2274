package wal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the set of file system operations that a Log needs. Tests implement it to inject faults.
type FS interface {
	// MkdirAll creates a directory with its parents and syncs its parent.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a directory, in any order.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or empties an existing one, and opens it for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Truncate truncates a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in a directory durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock that is released by Close or when the process ends.
	Lock(name string) (io.Closer, error)
}

// File is an open file for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll creates a directory with its parents and syncs its parent.
func (o OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// ReadDir returns the names of the files in a directory, sorted.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates a file, or empties an existing one. Because the file is opened with O_APPEND, writes go
// to its end even after Truncate.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append opens an existing file for appending.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate truncates a file to size bytes and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Rename renames a file within a directory.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a directory.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Lock locks a file, and creates it if it doesn't exist.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s is in use by another process: %w", name, err)
	}
	return f, nil
}
