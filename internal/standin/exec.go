package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// result is the outcome of a statement. Rows are read one at a time, so that large results are not
// held in memory.
type result struct {
	columns []column           // nil when the statement returns no rows
	next    func() (row, bool) // nil when there are none
	tag     string             // command tag; the number of rows is appended when counted is set
	counted bool
	sent    int // rows returned by next so far
}

func (r *result) commandTag() string {
	if r.counted {
		return r.tag + " " + strconv.Itoa(r.sent)
	}
	return r.tag
}

// errBlocked is returned by statements that must wait for another transaction.
type errBlocked struct{ holder *transaction }

func (e *errBlocked) Error() string { return "the row is locked by another transaction" }

// execute runs one statement that reads or writes data. It takes a slot, spends the service time,
// and waits for other transactions where necessary.
func (s *Server) execute(ctx context.Context, tx *transaction, st *stmt, params []value) (*result, error) {
	held := slot{pool: s.slots}
	if err := held.take(ctx); err != nil {
		return nil, err
	}
	defer held.free()
	s.executed.Add(1)
	if err := sleep(ctx, time.Duration(s.serviceTime.Load())); err != nil {
		return nil, err
	}
	if err := s.slow(ctx, st, params); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(s.cfg.LockTimeout)
	defer deadline.Stop()
	for {
		res, err := s.attempt(tx, st, params)
		blocked, ok := errors.AsType[*errBlocked](err)
		if !ok {
			return res, err
		}
		held.free() // the holder of the lock needs a slot to get on
		if err := waitFor(ctx, blocked.holder, deadline.C); err != nil {
			return nil, err
		}
		if err := held.take(ctx); err != nil {
			return nil, err
		}
	}
}

// waitFor waits for the end of a transaction.
func waitFor(ctx context.Context, holder *transaction, deadline <-chan time.Time) error {
	select {
	case <-holder.done:
		return nil
	case <-deadline:
		return sqlError(codeSerialization, "could not serialize access: the row is locked for too long")
	case <-ctx.Done():
		return cancelled()
	}
}

// slot is the right to execute a statement. A nil pool has no limit.
type slot struct {
	pool chan struct{}
	held bool
}

func (h *slot) take(ctx context.Context) error {
	if h.pool == nil {
		return nil
	}
	select {
	case h.pool <- struct{}{}:
		h.held = true
		return nil
	case <-ctx.Done():
		return cancelled()
	}
}

func (h *slot) free() {
	if h.held {
		<-h.pool
		h.held = false
	}
}

// slow spends the time of pg_sleep.
func (s *Server) slow(ctx context.Context, st *stmt, params []value) error {
	for _, it := range st.items {
		if it.expr.call != "pg_sleep" {
			continue
		}
		v, err := eval(it.expr.args[0], params)
		if err != nil || v == nil {
			return err
		}
		seconds, err := strconv.ParseFloat(*v, 64)
		if err != nil {
			return sqlError(codeBadText, "invalid input syntax for type double precision: %q", *v)
		}
		if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		if ctx.Err() != nil {
			return cancelled()
		}
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return cancelled()
	}
}

func cancelled() error {
	return sqlError(codeCancelled, "canceling statement due to user request")
}

// attempt runs the statement once under the mutex.
func (s *Server) attempt(tx *transaction, st *stmt, params []value) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.serving(); err != nil {
		return nil, err
	}
	if st.writes() {
		if err := s.writable(tx); err != nil {
			return nil, err
		}
		tx.wrote, tx.term = true, s.term
	}
	switch st.kind {
	case stmtCreate:
		return s.create(tx, st)
	case stmtInsert:
		return s.insert(tx, st, params)
	case stmtUpdate, stmtDelete:
		return s.modify(tx, st, params)
	case stmtSelect:
		return s.query(tx, st, params)
	case stmtCopyOut:
		return s.query(tx, st, params)
	case stmtValues:
		return s.values(st, params)
	case stmtSeries:
		return series(st, params)
	}
	return nil, sqlError(codeNotSupported, "statement is not supported by the stand-in")
}

// writable reports why tx can't write. The caller holds the mutex.
func (s *Server) writable(tx *transaction) error {
	if tx.readOnly || s.role != rolePrimary {
		return sqlError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	if tx.wrote && tx.term != s.term {
		return sqlError(codeSerialization, "the transaction began before a change of primary")
	}
	return nil
}

func eval(e expr, params []value) (value, error) {
	switch {
	case e.null:
		return nil, nil
	case e.param > len(params):
		return nil, sqlError(codeProtocol, "there is no parameter $%d", e.param)
	case e.param > 0:
		return params[e.param-1], nil
	case e.call != "":
		return nil, sqlError(codeNotSupported, "function %s is not supported here", e.call)
	}
	return text(e.text), nil
}

func (s *Server) create(tx *transaction, st *stmt) (*result, error) {
	if _, err := s.store.table(tx, st.table); err == nil {
		if st.ifNotExists {
			return &result{tag: "CREATE TABLE"}, nil
		}
		return nil, sqlError(codeDuplicateTable, "relation %q already exists", st.table)
	}
	if h := s.store.lock(tx, lockKey{table: st.table}); h != nil {
		return nil, &errBlocked{h}
	}
	t := &table{name: st.table, columns: st.columns, key: st.key, rows: map[string]row{}}
	tx.created[t.name] = t
	tx.changes = append(tx.changes, change{create: t})
	return &result{tag: "CREATE TABLE"}, nil
}

func (s *Server) insert(tx *transaction, st *stmt, params []value) (*result, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	at, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	rows := make([]row, len(st.rows))
	for i, exprs := range st.rows {
		if rows[i], err = buildRow(t, at, exprs, params); err != nil {
			return nil, err
		}
	}
	inserted, err := s.insertRows(tx, t, rows, st.ignore)
	if err != nil {
		return nil, err
	}
	return returning(t, st, inserted, fmt.Sprintf("INSERT 0 %d", len(inserted)))
}

func buildRow(t *table, at []int, exprs []expr, params []value) (row, error) {
	if len(exprs) > len(at) {
		return nil, sqlError(codeSyntax, "INSERT has more expressions than target columns")
	}
	r := make(row, len(t.columns))
	for i, e := range exprs {
		v, err := eval(e, params)
		if err != nil {
			return nil, err
		}
		if err := checkValue(t.columns[at[i]].oid, v); err != nil {
			return nil, err
		}
		r[at[i]] = v
	}
	return r, nil
}

// insertRows adds rows, all or none. With ignore set, rows whose id exists are left out.
func (s *Server) insertRows(tx *transaction, t *table, rows []row, ignore bool) ([]row, error) {
	for _, r := range rows {
		if r[t.key] == nil {
			return nil, sqlError(codeNotNull, "null value in column %q of relation %q", t.columns[t.key].name, t.name)
		}
		if h := s.store.lock(tx, lockKey{t.name, *r[t.key]}); h != nil {
			return nil, &errBlocked{h}
		}
	}
	var inserted []row
	fresh := map[string]bool{}
	for _, r := range rows {
		id := *r[t.key]
		taken := fresh[id] || s.store.get(tx, t, id) != nil
		if taken && !ignore {
			return nil, sqlError(codeUnique, "duplicate key value violates unique constraint %q", t.name+"_pkey")
		}
		if !taken {
			fresh[id] = true
			inserted = append(inserted, r)
		}
	}
	for _, r := range inserted {
		s.store.put(tx, t, *r[t.key], r)
	}
	return inserted, nil
}

// modify runs UPDATE and DELETE.
func (s *Server) modify(tx *transaction, st *stmt, params []value) (*result, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	found, err := s.find(tx, t, st.where, params)
	if err != nil {
		return nil, err
	}
	for _, r := range found {
		if h := s.store.lock(tx, lockKey{t.name, *r[t.key]}); h != nil {
			return nil, &errBlocked{h}
		}
	}
	if st.kind == stmtDelete {
		for _, r := range found {
			s.store.put(tx, t, *r[t.key], nil)
		}
		return returning(t, st, found, fmt.Sprintf("DELETE %d", len(found)))
	}
	changed := make([]row, len(found))
	for i, r := range found {
		if changed[i], err = assign(t, r, st.set, params); err != nil {
			return nil, err
		}
	}
	for i, r := range changed {
		s.store.put(tx, t, *found[i][t.key], r)
	}
	return returning(t, st, changed, fmt.Sprintf("UPDATE %d", len(changed)))
}

func assign(t *table, r row, set []match, params []value) (row, error) {
	out := slices.Clone(r)
	for _, m := range set {
		i, err := t.index(m.column)
		if err != nil {
			return nil, err
		}
		if i == t.key {
			return nil, sqlError(codeNotSupported, "a primary key can't be changed in the stand-in")
		}
		v, err := eval(m.value, params)
		if err != nil {
			return nil, err
		}
		if err := checkValue(t.columns[i].oid, v); err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}
