package wal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the file system access that a Log needs. Tests inject faults through it.
type FS interface {
	// MkdirAll creates a folder and syncs its parent.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a folder.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing at its end, replacing an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed files of a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock that ends with Close or with the process.
	Lock(name string) (io.Closer, error)
}

// File is an open file for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll creates a folder and syncs its parent.
func (o OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// ReadDir returns the names of the files in a folder, in order.
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

// Create opens an empty file for writing. Writes go to its end also after it was truncated.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append opens an existing file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate cuts a file to size bytes and syncs it.
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

// Rename renames a file within a folder.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a folder.
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

// Lock locks a file, which is created if it doesn't exist.
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
