package wal

import (
	"io"
	"strings"

	"github.com/citronrun/citronrun/internal/consensus"
)

// writeSnapshot atomically creates a snapshot file: it writes and syncs a temporary file, renames it and
// syncs the directory. A crash leaves either the previous snapshot or the new one.
func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	buf, err := encodeRecord(s)
	if err != nil {
		return err
	}
	name := snapshotName(s.Index)
	temp := name + tempSuffix
	if err := l.writeFile(temp, buf); err != nil {
		return err
	}
	if err := l.fs.Rename(l.path(temp), l.path(name)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return err
	}
	l.snapshot = s.Index
	return l.removeSnapshotsBefore(name)
}

func (l *Log) writeFile(name string, data []byte) error {
	file, err := l.fs.Create(l.path(name))
	if err != nil {
		return wrapNoSpace(err)
	}
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	err = wrapNoSpace(err)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// removeSnapshotsBefore removes the snapshots older than latest. It needn't sync the directory: if a crash
// undoes a removal, Open ignores the old file and the next snapshot removes it.
func (l *Log) removeSnapshotsBefore(latest string) error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, snapshotSuffix) || name >= latest {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return err
		}
	}
	return nil
}
