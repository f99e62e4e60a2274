package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/matryer/is"
)

const testMember = 77

func open(fsys FS) (*Log, State, error) {
	return Open("d", Options{FS: fsys, SegmentBytes: 400, NewMember: func() uint64 { return testMember }})
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: []byte(fmt.Sprint("value ", index, " of term ", term))}
}

func snapshotAt(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{Index: index, Term: term, Members: []consensus.Member{{ID: testMember}}, Data: []byte("state")}
}

// runScript runs a fixed sequence of writes, up to the first that fails, and returns the last acknowledged
// state of the log.
func runScript(l *Log) (acked State) {
	acked = State{Member: testMember}
	install := func(s consensus.Snapshot) bool {
		hard := consensus.HardState{Term: s.Term, Commit: s.Index}
		if l.Install(s, hard) != nil {
			return false
		}
		acked = State{Member: testMember, Hard: hard, Snapshot: s}
		return true
	}
	if !install(snapshotAt(1, 1)) {
		return acked
	}
	for i := uint64(2); i <= 30; i++ {
		hard := consensus.HardState{Term: 1 + i/10, Vote: i}
		if l.Save(&hard, []consensus.Entry{entry(i, hard.Term)}) != nil {
			return acked
		}
		acked.Hard = hard
		acked.Entries = append(acked.Entries, entry(i, hard.Term))
		if i%8 != 0 {
			continue
		}
		s := snapshotAt(i, hard.Term)
		if l.SaveSnapshot(s) != nil || l.Compact(i-2) != nil {
			return acked
		}
		acked.Snapshot, acked.Entries = s, nil
	}
	install(snapshotAt(60, 9))
	return acked
}

// checkRecovered compares a loaded state with the last acknowledged one. No acknowledged write may be
// missing; the failed write may be present.
func checkRecovered(is *is.I, acked, got State) {
	is.Helper()
	if len(acked.Entries) == 0 && acked.Snapshot.Index == 0 {
		return
	}
	is.Equal(got.Member, uint64(testMember))
	is.True(got.Snapshot.Index >= acked.Snapshot.Index)
	is.True(got.Hard.Term >= acked.Hard.Term)
	if got.Hard.Term == acked.Hard.Term {
		is.True(got.Hard.Vote >= acked.Hard.Vote) // votes increase in runScript
	}
	for _, e := range acked.Entries {
		if e.Index <= got.Snapshot.Index {
			continue
		}
		is.Equal(got.Entries[e.Index-got.Snapshot.Index-1], e)
	}
}

// TestCrashAtEachOperation guards against the loss of acknowledged data, and against directories that
// can't be opened, after a crash at any write, sync, rename or removal.
func TestCrashAtEachOperation(t *testing.T) {
	is := is.New(t)
	dryRun := newMemFS()
	l, _, err := open(dryRun)
	is.NoErr(err)
	final := runScript(l)
	is.Equal(final.Snapshot.Index, uint64(60))
	for failAt := 1; failAt <= dryRun.ops; failAt++ {
		for _, keepBytes := range []int{0, 5, 20, 1 << 20} {
			fsys := newMemFS()
			fsys.failAt, fsys.failAfterFault = failAt, true
			acked := State{}
			if l, _, err := open(fsys); err == nil {
				acked = runScript(l)
			}
			afterCrash := fsys.crash(keepBytes)
			l, got, err := open(afterCrash)
			is.NoErr(err)
			checkRecovered(is, acked, got)
			next := got.Snapshot.Index + uint64(len(got.Entries)) + 1
			hard := consensus.HardState{Term: 20}
			is.NoErr(l.Save(&hard, []consensus.Entry{entry(next, 20)}))
			_, reopened, err := open(afterCrash.crash(0))
			is.NoErr(err)
			is.Equal(len(reopened.Entries), len(got.Entries)+1)
		}
	}
	t.Logf("crashed at each of %d operations, with 4 amounts of unsynced data each", dryRun.ops)
}

// TestRefusesWritesAfterFault guards against further writes after a failed write, short write or failed
// sync, when the state of the disk is unknown.
func TestRefusesWritesAfterFault(t *testing.T) {
	is := is.New(t)
	for _, short := range []bool{false, true} {
		for opsUntilFault := 1; opsUntilFault <= 2; opsUntilFault++ { // 1: the write fails or is short; 2: the sync fails
			fsys := newMemFS()
			fsys.short = short
			l, _, err := open(fsys)
			is.NoErr(err)
			is.NoErr(l.Save(nil, []consensus.Entry{entry(1, 1)}))
			fsys.failAt = fsys.ops + opsUntilFault
			is.True(l.Save(nil, []consensus.Entry{entry(2, 1)}) != nil)
			ops := fsys.ops
			is.True(l.Save(nil, []consensus.Entry{entry(3, 1)}) != nil)
			is.True(l.SaveSnapshot(snapshotAt(1, 1)) != nil)
			is.True(l.Compact(1) != nil)
			is.Equal(fsys.ops, ops) // no operation reached the disk
		}
	}
}

// TestDiskFull guards against a log that is unusable or corrupt after the disk was full. For each amount
// of free space, the write that exceeds it fails and is retried after space has been freed.
func TestDiskFull(t *testing.T) {
	is := is.New(t)
	failedWrites := 0
	for freeBytes := 1; freeBytes < 700; freeBytes++ {
		fsys := newMemFS()
		l, _, err := open(fsys)
		is.NoErr(err)
		fsys.freeBytes = freeBytes
		retry := func(write func() error) {
			for err := write(); err != nil; err = write() {
				is.True(errors.Is(err, ErrNoSpace))
				_, _, err := open(fsys.crash(1 << 20))
				is.NoErr(err)
				fsys.freeBytes = 0 // no limit
				failedWrites++
			}
		}
		retry(func() error { return l.Install(snapshotAt(1, 1), consensus.HardState{Term: 1}) })
		for i := uint64(2); i <= 12; i++ {
			hard := consensus.HardState{Term: 1, Vote: i}
			retry(func() error { return l.Save(&hard, []consensus.Entry{entry(i, 1)}) })
		}
		retry(func() error { return l.SaveSnapshot(snapshotAt(9, 1)) })
		is.NoErr(l.Compact(5))
		_, got, err := open(fsys.crash(0))
		is.NoErr(err)
		is.Equal(got.Hard.Vote, uint64(12))
		is.Equal(got.Snapshot.Index, uint64(9))
		is.Equal(len(got.Entries), 3)
	}
	t.Logf("%d writes failed for lack of space", failedWrites)
	is.True(failedWrites > 0)
}

// writeEntries creates a log with the given number of entries and returns the path of its last segment.
func writeEntries(is *is.I, fsys *memFS, entries uint64) string {
	l, _, err := open(fsys)
	is.NoErr(err)
	is.NoErr(l.Install(snapshotAt(1, 1), consensus.HardState{Term: 1}))
	for i := uint64(2); i < 2+entries; i++ {
		is.NoErr(l.Save(nil, []consensus.Entry{entry(i, 1)}))
	}
	path := l.path(l.segments[len(l.segments)-1].name)
	is.NoErr(l.Close())
	return path
}

// TestTornLastRecord guards against a torn last record that makes Open fail or that causes the loss of an
// earlier record.
func TestTornLastRecord(t *testing.T) {
	is := is.New(t)
	before := newMemFS()
	path := writeEntries(is, before, 3)
	start := len(before.files[path].data)
	intact := newMemFS()
	is.Equal(writeEntries(is, intact, 4), path)
	data := intact.files[path].data
	for size := start; size < len(data); size++ {
		for _, zeros := range []bool{false, true} {
			fsys := intact.crash(0)
			torn := append([]byte(nil), data[:size]...)
			if zeros {
				torn = append(data[:start:start], make([]byte, len(data)-size)...)
			}
			fsys.files[path].data = torn
			_, got, err := open(fsys)
			is.NoErr(err)
			is.Equal(len(got.Entries), 3)
			is.Equal(len(fsys.files[path].data), start) // the torn record is truncated
		}
	}
}

// TestCorruptionIsRefused guards against the silent loss of acknowledged records: any corrupt byte before
// the last record must make Open fail with an error that contains the file and the offset.
func TestCorruptionIsRefused(t *testing.T) {
	is := is.New(t)
	intact := newMemFS()
	l, _, err := open(intact)
	is.NoErr(err)
	runScript(l)
	last := l.path(l.segments[len(l.segments)-1].name)
	tail := lastRecordOffset(intact.files[last].data)
	count := 0
	for path, f := range intact.files {
		for i := range f.data {
			if path == last && i >= tail {
				continue
			}
			fsys := intact.crash(0)
			fsys.files[path].data[i] ^= 0x41
			_, _, err := open(fsys)
			var corrupt *CorruptError
			is.True(errors.As(err, &corrupt))
			is.Equal(corrupt.File, path)
			is.True(corrupt.Offset <= int64(i))
			is.True(strings.Contains(err.Error(), "offset"))
			count++
		}
	}
	t.Logf("%d corrupt bytes detected", count)
}

// lastRecordOffset returns the offset of the last record in a segment.
func lastRecordOffset(data []byte) int {
	offset := 0
	for {
		rec := parseRecord(data[offset:])
		if offset+int(rec.size) == len(data) {
			return offset
		}
		offset += int(rec.size)
	}
}

// TestLockOnDisk guards against two processes that use the same directory. It runs on the real file
// system.
func TestLockOnDisk(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "member")
	opts := Options{NewMember: func() uint64 { return 5 }}
	l, state, err := Open(dir, opts)
	is.NoErr(err)
	is.True(state.Fresh)
	_, _, err = Open(dir, opts)
	is.True(err != nil)
	is.NoErr(l.Install(snapshotAt(1, 1), consensus.HardState{Term: 1}))
	is.NoErr(l.Close())
	l, state, err = Open(dir, Options{})
	is.NoErr(err)
	is.Equal(state.Member, uint64(5))
	is.Equal(state.Snapshot.Index, uint64(1))
	is.NoErr(l.Close())
}
