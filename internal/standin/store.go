package standin

import (
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// value is a column value in text form, nil for NULL. Values and rows are immutable, since the
// stand-ins of a group share them.
type value *string

type row []value

type table struct {
	name      string
	columns   []column
	keyColumn int            // index of the primary key
	rows      map[string]row // by primary key
}

// index returns the index of a column.
func (t *table) index(name string) (int, error) {
	i := slices.IndexFunc(t.columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return 0, sqlError(codeNoColumn, "column %q of table %q does not exist", name, t.name)
	}
	return i, nil
}

// indexes returns the indexes of columns; no names or "*" means all columns.
func (t *table) indexes(names []string) ([]int, error) {
	if len(names) == 0 || names[0] == "*" {
		out := make([]int, len(t.columns))
		for i := range out {
			out[i] = i
		}
		return out, nil
	}
	out := make([]int, len(names))
	for i, name := range names {
		index, err := t.index(name)
		if err != nil {
			return nil, err
		}
		out[i] = index
	}
	return out, nil
}

// change is one effect of a transaction: a new table, or a new or deleted row version.
type change struct {
	create *table // new table without rows, nil for a row change
	table  string
	id     string // primary key of the row
	row    row    // nil deletes the row
}

// entry is a committed transaction in the log.
type entry struct {
	pos        position.Position
	appendedAt time.Time // by this stand-in; see receiveDue and applyDue for the lags that count from it
	changes    []change
}

// store is the data of one stand-in: its log, and the tables that result from the applied prefix of the
// log. The server's mutex guards it.
type store struct {
	log     []entry
	applied int // number of log entries that the tables reflect
	tables  map[string]*table
	locks   map[lockKey]*transaction // holders of the row locks
}

// lockKey identifies a row by table and primary key. An empty id locks the table's name, for CREATE
// TABLE.
type lockKey struct{ table, id string }

func newStore() *store {
	return &store{tables: map[string]*table{}, locks: map[lockKey]*transaction{}}
}

// received returns the position at the end of the log.
func (s *store) received() position.Position { return s.positionAt(len(s.log)) }

// appliedPosition returns the position that the tables reflect.
func (s *store) appliedPosition() position.Position { return s.positionAt(s.applied) }

// positionAt returns the position of the n-th log entry, or the zero position if n is 0.
func (s *store) positionAt(n int) position.Position {
	if n == 0 {
		return position.Position{}
	}
	return s.log[n-1].pos
}

// append appends an entry to the log and applies the log to its end.
func (s *store) append(term uint64, changes []change) {
	pos := position.Position{Term: term, Offset: uint64(len(s.log)) + 1}
	s.log = append(s.log, entry{pos: pos, appendedAt: time.Now(), changes: changes})
	s.applyTo(len(s.log))
}

// applyTo applies the log until n entries are applied.
func (s *store) applyTo(n int) {
	for ; s.applied < min(n, len(s.log)); s.applied++ {
		for _, c := range s.log[s.applied].changes {
			s.apply(c)
		}
	}
}

func (s *store) apply(c change) {
	if c.create != nil {
		t := *c.create
		t.rows = map[string]row{}
		s.tables[t.name] = &t
		return
	}
	t := s.tables[c.table]
	if t == nil {
		return
	}
	if c.row == nil {
		delete(t.rows, c.id)
		return
	}
	t.rows[c.id] = c.row
}

// isPrefixOf reports whether this log is a prefix of the other. It compares only the last position, since
// logs that contain the same position are equal up to it.
func (s *store) isPrefixOf(other *store) bool {
	n := len(s.log)
	return n <= len(other.log) && s.positionAt(n) == other.positionAt(n)
}

// transaction is an open transaction and its uncommitted changes.
type transaction struct {
	readOnly bool
	wrote    bool   // ran a statement that writes, even one that changed no row
	term     uint64 // the stand-in's term when the transaction wrote
	changes  []change
	rows     map[lockKey]row // latest version of each changed row, nil if deleted
	created  map[string]*table
	locks    []lockKey
	done     chan struct{} // closed when the transaction has ended
}

func newTransaction(readOnly bool) *transaction {
	return &transaction{
		readOnly: readOnly,
		rows:     map[lockKey]row{},
		created:  map[string]*table{},
		done:     make(chan struct{}),
	}
}

// tryLock acquires a row lock for tx and returns nil, or returns the other transaction that holds it.
func (s *store) tryLock(tx *transaction, key lockKey) (holder *transaction) {
	switch current := s.locks[key]; current {
	case tx:
		return nil
	case nil:
		s.locks[key] = tx
		tx.locks = append(tx.locks, key)
		return nil
	default:
		return current
	}
}

// finish marks tx as ended and releases its locks. It may be called more than once.
func (s *store) finish(tx *transaction) {
	select {
	case <-tx.done:
		return
	default:
	}
	for _, k := range tx.locks {
		if s.locks[k] == tx {
			delete(s.locks, k)
		}
	}
	close(tx.done)
}

// table returns a table that is visible to tx.
func (s *store) table(tx *transaction, name string) (*table, error) {
	if t := tx.created[name]; t != nil {
		return t, nil
	}
	if t := s.tables[name]; t != nil {
		return t, nil
	}
	return nil, sqlError(codeNoTable, "relation %q does not exist", name)
}

// get returns the version of a row that is visible to tx, nil if there is none.
func (s *store) get(tx *transaction, t *table, id string) row {
	if r, ok := tx.rows[lockKey{t.name, id}]; ok {
		return r
	}
	return t.rows[id]
}

// put records a new version of a row in tx; nil deletes the row.
func (s *store) put(tx *transaction, t *table, id string, r row) {
	tx.rows[lockKey{t.name, id}] = r
	tx.changes = append(tx.changes, change{table: t.name, id: id, row: r})
}

// ids returns the primary keys of the rows of t that are visible to tx, sorted.
func (s *store) ids(tx *transaction, t *table) []string {
	out := make([]string, 0, len(t.rows))
	for id := range t.rows {
		if _, changed := tx.rows[lockKey{t.name, id}]; !changed {
			out = append(out, id)
		}
	}
	for k, r := range tx.rows {
		if k.table == t.name && r != nil {
			out = append(out, k.id)
		}
	}
	slices.Sort(out)
	return out
}
