// Package wal is the write-ahead log of one consensus member. It stores the log entries, the hard state
// (term, vote and commit index) and the snapshots in a directory.
//
// The log is divided into segments: files of checksummed records, named by sequence number. Each snapshot
// is a separate file, named by its index. Save, SaveSnapshot and Install return only after the files and
// the directory are synced. After a failed write or sync the state of the disk is unknown, so a Log then
// refuses all further writes until the directory is opened again. The exception is a write that fails
// because the disk is full: it is undone and reported as ErrNoSpace, and can be retried.
package wal

import (
	"errors"
	"fmt"
	"io"

	"github.com/citronrun/citronrun/internal/consensus"
	"golang.org/x/sys/unix"
)

// ErrNoSpace reports that the disk is full. The write has been undone and can be retried.
var ErrNoSpace = errors.New("no space left on the disk")

// DefaultSegmentBytes is the size at which a segment is full and the next record starts a new one.
const DefaultSegmentBytes = 1 << 20

// Options configure a Log.
type Options struct {
	FS           FS            // nil: OS
	SegmentBytes int64         // 0: DefaultSegmentBytes
	NewMember    func() uint64 // generates the id of a new member; called only for an empty directory
}

// Log is the open log of a member. It must be used by one goroutine at a time.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64
	member       uint64
	hard         consensus.HardState
	snapshot     uint64 // index of the latest snapshot
	lock         io.Closer
	file         File // of the last segment, open for appending
	segments     []segment
	pendingReset *logPosition // reset record to write when the directory is opened; nil: none
	failure      error        // returned by all further writes; nil: writable
}

// Open creates the directory if needed, locks it and loads its state. Corruption other than a torn last
// record is reported as *CorruptError.
func Open(dir string, opts Options) (*Log, State, error) {
	l := &Log{fs: opts.FS, dir: dir, segmentBytes: opts.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.segmentBytes == 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, State{}, fmt.Errorf("open log directory: %w", err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, State{}, fmt.Errorf("open log directory: %w", err)
	}
	l.lock = lock
	state, err := l.loadOrCreate(opts)
	if err != nil {
		_ = l.Close()
		return nil, State{}, fmt.Errorf("open log directory: %w", err)
	}
	return l, state, nil
}

// loadOrCreate loads the state of the directory and opens its last segment. In an empty directory it creates
// the first segment for a new member.
func (l *Log) loadOrCreate(opts Options) (State, error) {
	state, err := l.load()
	if err != nil {
		return State{}, err
	}
	if state.Fresh {
		state.Member = opts.NewMember()
	}
	l.member = state.Member
	l.hard = state.Hard
	l.snapshot = state.Snapshot.Index
	if len(l.segments) == 0 {
		return state, l.roll()
	}
	l.file, err = l.fs.Append(l.path(l.segments[len(l.segments)-1].name))
	if err != nil {
		return State{}, err
	}
	// The records that were read may not have been synced, and a torn one may have been truncated.
	if err := l.file.Sync(); err != nil {
		return State{}, err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return State{}, err
	}
	if l.pendingReset != nil {
		err = l.write(record{Hard: &state.Hard, Reset: l.pendingReset})
	}
	return state, err
}

// Save durably appends the hard state, if not nil, and entries. The entries replace the log from the
// first one's index on.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	return l.write(record{Hard: hard, Entries: entries})
}

// SaveSnapshot durably stores a snapshot of this member's state machine and removes older snapshots.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	return l.recordFailure(l.writeSnapshot(s))
}

// Install durably stores a snapshot received from the leader, which replaces the complete log.
func (l *Log) Install(s consensus.Snapshot, hard consensus.HardState) error {
	if err := l.SaveSnapshot(s); err != nil {
		return err
	}
	return l.write(record{Hard: &hard, Reset: &logPosition{Index: s.Index, Term: s.Term}})
}

// Compact removes the leading segments whose entries all have an index below first. Entries after the
// latest snapshot are always kept.
func (l *Log) Compact(first uint64) error {
	if l.failure != nil {
		return l.failure
	}
	first = min(first, l.snapshot)
	count := 0
	for count < len(l.segments)-1 && l.segments[count].last < first {
		count++
	}
	if count == 0 {
		return nil
	}
	for _, seg := range l.segments[:count] {
		if err := l.fs.Remove(l.path(seg.name)); err != nil {
			return l.recordFailure(err)
		}
		// The directory is synced after each removal, so that a crash can't leave a gap between segments.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.recordFailure(err)
		}
	}
	l.segments = l.segments[count:]
	return nil
}

// Close closes the log and unlocks the directory.
func (l *Log) Close() error {
	l.failure = errors.New("log is closed")
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// recordFailure makes the log refuse further writes if err is neither nil nor ErrNoSpace. It returns the error to
// report to the caller.
func (l *Log) recordFailure(err error) error {
	if err == nil || errors.Is(err, ErrNoSpace) {
		return err
	}
	l.failure = fmt.Errorf("log is unusable after a failed write: %w", err)
	return l.failure
}

// write appends a record and syncs it.
func (l *Log) write(rec record) error {
	if l.failure != nil {
		return l.failure
	}
	return l.recordFailure(l.writeRecord(rec))
}

// writeRecord appends a record to the last segment, or to a new one if the last segment is full.
func (l *Log) writeRecord(rec record) error {
	if l.segments[len(l.segments)-1].bytes >= l.segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	if err := l.appendRecord(l.file, &l.segments[len(l.segments)-1], rec); err != nil {
		return err
	}
	if rec.Hard != nil {
		l.hard = *rec.Hard
	}
	return nil
}

// appendRecord writes a record to the end of a segment and syncs the file.
func (l *Log) appendRecord(file File, seg *segment, rec record) error {
	buf, err := encodeRecord(rec)
	if err != nil {
		return err
	}
	n, err := file.Write(buf)
	if err == nil && n < len(buf) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return l.undoPartialWrite(seg, wrapNoSpace(err))
	}
	if err := file.Sync(); err != nil {
		return err
	}
	seg.bytes += int64(len(buf))
	for _, e := range rec.Entries {
		seg.last = max(seg.last, e.Index)
	}
	return nil
}

// undoPartialWrite truncates the partly written record if the disk was full. It returns cause, or the error
// of the truncation.
func (l *Log) undoPartialWrite(seg *segment, cause error) error {
	if !errors.Is(cause, ErrNoSpace) {
		return cause
	}
	if err := l.fs.Truncate(l.path(seg.name), seg.bytes); err != nil {
		return fmt.Errorf("truncate an incomplete record: %w", err)
	}
	return cause
}

// wrapNoSpace wraps an ENOSPC error of a write or file creation in ErrNoSpace. It must not be used for
// errors of a sync, after which it is unknown which data has reached the disk.
func wrapNoSpace(err error) error {
	if errors.Is(err, unix.ENOSPC) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

// roll starts a new segment. Its first record repeats the member id and the hard state, so that earlier
// segments can be removed. If it fails, the previous segment remains the last one.
func (l *Log) roll() error {
	seg := segment{seq: 1}
	if k := len(l.segments); k > 0 {
		seg.seq = l.segments[k-1].seq + 1
	}
	seg.name = segmentName(seg.seq)
	file, err := l.fs.Create(l.path(seg.name))
	if err != nil {
		return wrapNoSpace(err)
	}
	hard := l.hard
	err = l.appendRecord(file, &seg, record{Segment: seg.seq, Member: l.member, Hard: &hard})
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = file.Close() // the earlier error is returned
		return err
	}
	if l.file != nil {
		_ = l.file.Close() // already synced
	}
	l.file = file
	l.segments = append(l.segments, seg)
	return nil
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }
