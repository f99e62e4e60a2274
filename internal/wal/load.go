package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
	lockName       = "lock"
)

// State is the persistent state that Open loads.
type State struct {
	Member   uint64 // id of the member that owns the directory
	Fresh    bool   // the directory held no state; Member is new
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry // with an index above Snapshot.Index
}

// segment describes one log file.
type segment struct {
	seq   uint64
	name  string
	last  uint64 // highest index of an entry in the file; 0: none
	bytes int64  // size of the file without a torn record
}

// loader replays the files of a directory.
type loader struct {
	log     *Log
	state   State
	resetAt logPosition       // position in the latest reset record: the log restarts after this entry
	entries []consensus.Entry // consecutive; may begin before the snapshot
}

// scan returns the names of the segments and snapshots in order, and removes temporary files.
func (l *Log) scan() (segments, snapshots []string, err error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, nil, err
	}
	slices.Sort(names)
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, segmentSuffix):
			segments = append(segments, name)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		case strings.HasSuffix(name, tempSuffix):
			if err := l.fs.Remove(l.path(name)); err != nil {
				return nil, nil, err
			}
		}
	}
	return segments, snapshots, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// load reads the directory. State.Fresh is set if no write to the directory has ever been acknowledged.
func (l *Log) load() (State, error) {
	segments, snapshots, err := l.scan()
	if err != nil {
		return State{}, err
	}
	if len(segments) == 0 && len(snapshots) > 0 {
		return State{}, &CorruptError{File: l.path(snapshots[0]), Reason: "snapshot without log segments"}
	}
	ld := &loader{log: l}
	for i, name := range segments {
		if err := ld.readSegment(name, i == len(segments)-1); err != nil {
			return State{}, err
		}
	}
	if len(snapshots) > 0 {
		if err := ld.readSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return State{}, err
		}
	}
	if len(l.segments) == 0 {
		if len(snapshots) > 0 {
			return State{}, &CorruptError{File: l.path(segments[0]), Reason: "segment without its first record"}
		}
		return State{Fresh: true}, nil
	}
	return ld.combine()
}

// readSegment replays one segment. It truncates a torn record at the end of the last segment.
func (ld *loader) readSegment(name string, last bool) error {
	l := ld.log
	path := l.path(name)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return err
	}
	seg := segment{name: name}
	for seg.bytes < int64(len(data)) {
		rec := parseRecord(data[seg.bytes:])
		if rec.reason != "" && rec.torn && last {
			break
		}
		if rec.reason == "" {
			rec.reason = ld.replay(rec.body, &seg)
		}
		if rec.reason != "" {
			return &CorruptError{File: path, Offset: seg.bytes, Reason: rec.reason}
		}
		seg.bytes += rec.size
	}
	if seg.bytes == 0 {
		return ld.dropEmptySegment(path, last)
	}
	l.segments = append(l.segments, seg)
	if seg.bytes < int64(len(data)) {
		return l.fs.Truncate(path, seg.bytes)
	}
	return nil
}

// dropEmptySegment removes the last segment if a crash left it without a complete record.
func (ld *loader) dropEmptySegment(path string, last bool) error {
	if !last {
		return &CorruptError{File: path, Reason: "empty segment before the last one"}
	}
	if err := ld.log.fs.Remove(path); err != nil {
		return err
	}
	return ld.log.fs.SyncDir(ld.log.dir)
}

// replay applies one record. It returns the reason if the record is invalid, otherwise "".
func (ld *loader) replay(body []byte, seg *segment) string {
	var rec record
	if err := wire.Unmarshal(body, &rec); err != nil {
		return err.Error()
	}
	if reason := ld.checkFirstRecord(rec, seg); reason != "" {
		return reason
	}
	if rec.Hard != nil {
		if rec.Hard.Term < ld.state.Hard.Term {
			return fmt.Sprintf("term decreases from %d to %d", ld.state.Hard.Term, rec.Hard.Term)
		}
		ld.state.Hard = *rec.Hard
	}
	if rec.Reset != nil {
		ld.resetAt = *rec.Reset
		ld.entries = nil
	}
	return ld.replayEntries(rec.Entries, seg)
}

// checkFirstRecord checks that the first record of a segment matches the segment's name, continues the
// previous segment and belongs to the same member. It returns the reason if not, otherwise "".
func (ld *loader) checkFirstRecord(rec record, seg *segment) string {
	if seg.bytes > 0 {
		return ""
	}
	if rec.Member == 0 || segmentName(rec.Segment) != seg.name {
		return fmt.Sprintf("first record doesn't match the file name, or its member id is zero: it has segment number %x and member id %x", rec.Segment, rec.Member)
	}
	if n := len(ld.log.segments); n > 0 && rec.Segment != ld.log.segments[n-1].seq+1 {
		return fmt.Sprintf("segment %x is missing", ld.log.segments[n-1].seq+1)
	}
	if ld.state.Member != 0 && rec.Member != ld.state.Member {
		return fmt.Sprintf("segment belongs to member %x, earlier segments to member %x", rec.Member, ld.state.Member)
	}
	seg.seq = rec.Segment
	ld.state.Member = rec.Member
	return ""
}

// replayEntries appends entries. An entry replaces the one at its index and discards all after it.
func (ld *loader) replayEntries(entries []consensus.Entry, seg *segment) string {
	for _, e := range entries {
		if len(ld.entries) == 0 {
			// The log may start at any index, since Compact removes segments at its front.
			ld.entries = append(ld.entries, e)
			seg.last = max(seg.last, e.Index)
			continue
		}
		first := ld.entries[0].Index
		if e.Index > first+uint64(len(ld.entries)) {
			return fmt.Sprintf("entry %d is missing", first+uint64(len(ld.entries)))
		}
		keep := max(e.Index, first) - first
		ld.entries = append(ld.entries[:keep], e)
		seg.last = max(seg.last, e.Index)
	}
	return ""
}

func (ld *loader) readSnapshot(name string) error {
	path := ld.log.path(name)
	data, err := ld.log.fs.ReadFile(path)
	if err != nil {
		return err
	}
	rec := parsedRecord{reason: "empty snapshot file"}
	if len(data) > 0 {
		rec = parseRecord(data)
	}
	if rec.reason == "" {
		if err := wire.Unmarshal(rec.body, &ld.state.Snapshot); err != nil {
			rec.reason = err.Error()
		}
	}
	if rec.reason == "" && snapshotName(ld.state.Snapshot.Index) != name {
		rec.reason = fmt.Sprintf("file contains the snapshot of another index, %d", ld.state.Snapshot.Index)
	}
	if rec.reason != "" {
		return &CorruptError{File: path, Reason: rec.reason}
	}
	return nil
}

// combine merges the snapshot and the log. Entries after the snapshot are valid only if the log contains
// the snapshot's last entry, with the same term, or starts directly after it. Otherwise a crash has
// interrupted Install, and the entries precede the installed snapshot and are discarded.
func (ld *loader) combine() (State, error) {
	s := ld.state
	if s.Hard.Term < s.Snapshot.Term {
		// A crash interrupted Install, so the member hasn't voted in the snapshot's term.
		s.Hard = consensus.HardState{Term: s.Snapshot.Term}
	}
	snapshotPos := logPosition{Index: s.Snapshot.Index, Term: s.Snapshot.Term}
	if ld.resetAt.Index > snapshotPos.Index {
		return State{}, &CorruptError{File: ld.log.dir, Reason: fmt.Sprintf("snapshot at index %d is missing", ld.resetAt.Index)}
	}
	if len(ld.entries) == 0 {
		return s, ld.scheduleReset(snapshotPos)
	}
	first := ld.entries[0].Index
	last := first + uint64(len(ld.entries)) - 1
	switch {
	case first > snapshotPos.Index+1:
		return State{}, &CorruptError{File: ld.log.dir, Reason: fmt.Sprintf("entry %d is missing", snapshotPos.Index+1)}
	case last <= snapshotPos.Index:
		return s, ld.scheduleReset(snapshotPos)
	case first <= snapshotPos.Index && ld.entries[snapshotPos.Index-first].Term != snapshotPos.Term:
		return s, ld.scheduleReset(snapshotPos)
	}
	s.Entries = ld.entries[snapshotPos.Index+1-first:]
	return s, nil
}

// scheduleReset makes Open write a reset record, which makes the log restart after the snapshot. No record is
// written if the latest reset record already does so and no entries follow it.
func (ld *loader) scheduleReset(at logPosition) error {
	if ld.resetAt == at && len(ld.entries) == 0 {
		return nil
	}
	ld.log.pendingReset = &at
	return nil
}
