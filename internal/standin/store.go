package standin

import (
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// value is a column value in text form, nil for NULL. Values and rows are never changed in place,
// so that databases of a group share them.
type value *string

type row []value

type table struct {
	name    string
	columns []column
	key     int // index of the primary key
	rows    map[string]row
}

func (t *table) index(name string) (int, error) {
	i := slices.IndexFunc(t.columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return 0, sqlError(codeNoColumn, "column %q of table %q does not exist", name, t.name)
	}
	return i, nil
}

// indexes resolves column names; nil or "*" means all columns.
func (t *table) indexes(names []string) ([]int, error) {
	if len(names) == 0 || names[0] == "*" {
		out := make([]int, len(t.columns))
		for i := range out {
			out[i] = i
		}
		return out, nil
	}
	out := make([]int, len(names))
	for i, n := range names {
		at, err := t.index(n)
		if err != nil {
			return nil, err
		}
		out[i] = at
	}
	return out, nil
}

// change is one effect of a transaction: a new table, or a new version of a row.
type change struct {
	create *table // rows are empty
	table  string
	id     string
	row    row // nil deletes
}

// entry is a committed transaction in the log.
type entry struct {
	pos     position.Position
	at      time.Time // when this database got the entry
	changes []change
}

// store is the data of one database: its log, and the tables as of the applied part of the log. The
// server's mutex guards it.
type store struct {
	log     []entry
	applied int // entries of log that the tables reflect
	tables  map[string]*table
	locks   map[lockKey]*transaction
}

type lockKey struct{ table, id string }

func newStore() *store {
	return &store{tables: map[string]*table{}, locks: map[lockKey]*transaction{}}
}

// received returns the position at the end of the log.
func (s *store) received() position.Position { return s.at(len(s.log)) }

// appliedPosition returns the position that the tables reflect.
func (s *store) appliedPosition() position.Position { return s.at(s.applied) }

func (s *store) at(n int) position.Position {
	if n == 0 {
		return position.Position{}
	}
	return s.log[n-1].pos
}

// append adds an entry to the log and applies all of the log.
func (s *store) append(term uint64, changes []change) {
	pos := position.Position{Term: term, Offset: uint64(len(s.log)) + 1}
	s.log = append(s.log, entry{pos: pos, at: time.Now(), changes: changes})
	s.applyTo(len(s.log))
}

// applyTo applies the log up to n entries.
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

// agrees reports whether this log is a prefix of other, given that equal positions mean equal
// prefixes.
func (s *store) agrees(other *store) bool {
	n := len(s.log)
	return n <= len(other.log) && s.at(n) == other.at(n)
}

// transaction is an open transaction and its uncommitted changes.
type transaction struct {
	readOnly bool
	wrote    bool   // ran a statement that writes, with or without effect
	term     uint64 // of the server when it wrote
	changes  []change
	rows     map[lockKey]row // last version of each changed row, nil when deleted
	created  map[string]*table
	held     []lockKey
	done     chan struct{} // closed at the end
}

func newTransaction(readOnly bool) *transaction {
	return &transaction{
		readOnly: readOnly,
		rows:     map[lockKey]row{},
		created:  map[string]*table{},
		done:     make(chan struct{}),
	}
}

// lock takes a lock for tx, or returns the transaction that holds it.
func (s *store) lock(tx *transaction, k lockKey) (holder *transaction) {
	switch h := s.locks[k]; h {
	case tx:
		return nil
	case nil:
		s.locks[k] = tx
		tx.held = append(tx.held, k)
		return nil
	default:
		return h
	}
}

// finish releases the locks of tx.
func (s *store) finish(tx *transaction) {
	select {
	case <-tx.done:
		return
	default:
	}
	for _, k := range tx.held {
		if s.locks[k] == tx {
			delete(s.locks, k)
		}
	}
	close(tx.done)
}

func (s *store) table(tx *transaction, name string) (*table, error) {
	if t := tx.created[name]; t != nil {
		return t, nil
	}
	if t := s.tables[name]; t != nil {
		return t, nil
	}
	return nil, sqlError(codeNoTable, "relation %q does not exist", name)
}

// get returns a row as tx sees it, nil when there is none.
func (s *store) get(tx *transaction, t *table, id string) row {
	if r, ok := tx.rows[lockKey{t.name, id}]; ok {
		return r
	}
	return t.rows[id]
}

// put records a new version of a row, nil to delete it.
func (s *store) put(tx *transaction, t *table, id string, r row) {
	tx.rows[lockKey{t.name, id}] = r
	tx.changes = append(tx.changes, change{table: t.name, id: id, row: r})
}

// ids returns the ids of the rows of t that tx sees, in order.
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
