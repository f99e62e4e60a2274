package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// result holds the command tag and the rows of a statement. Rows are read one at a time, so that generate_series can return
// large results without holding them in memory.
type result struct {
	columns []column           // nil when the statement returns no rows
	next    func() (row, bool) // returns the next row, false after the last one; nil without rows
	tag     string             // command tag without the row count
	counted bool               // the command tag ends with the row count
	sent    int                // rows sent so far
}

func (r *result) commandTag() string {
	if r.counted {
		return r.tag + " " + strconv.Itoa(r.sent)
	}
	return r.tag
}

// rowLockedError is returned by a statement that must wait until the transaction that holds a row lock has ended.
type rowLockedError struct{ holder *transaction }

func (e *rowLockedError) Error() string { return "the row is locked by another transaction" }

// execute runs one statement that reads or writes data. It acquires a slot, waits for the minimum statement
// time, and retries while another transaction holds a row lock, up to the lock timeout.
func (s *Server) execute(ctx context.Context, tx *transaction, st *stmt, params []value) (*result, error) {
	execSlot := slot{pool: s.slots}
	if err := execSlot.acquire(ctx); err != nil {
		return nil, err
	}
	defer execSlot.release()
	s.executed.Add(1)
	if err := sleep(ctx, time.Duration(s.minStatementTime.Load())); err != nil {
		return nil, err
	}
	if err := s.runSleepCalls(ctx, st, params); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(s.cfg.LockTimeout)
	defer deadline.Stop()
	for {
		res, err := s.attempt(tx, st, params)
		blocked, ok := errors.AsType[*rowLockedError](err)
		if !ok {
			return res, err
		}
		execSlot.release() // the lock holder needs a slot to proceed
		if err := waitForTransaction(ctx, blocked.holder, deadline.C); err != nil {
			return nil, err
		}
		if err := execSlot.acquire(ctx); err != nil {
			return nil, err
		}
	}
}

// waitForTransaction waits for the end of the transaction that holds a row lock.
func waitForTransaction(ctx context.Context, holder *transaction, deadline <-chan time.Time) error {
	select {
	case <-holder.done:
		return nil
	case <-deadline:
		return sqlError(codeSerialization, "lock timeout exceeded while waiting for a row lock")
	case <-ctx.Done():
		return cancelled()
	}
}

// slot is the right to execute a statement. With a nil pool, slots are unlimited.
type slot struct {
	pool     chan struct{}
	acquired bool
}

func (s *slot) acquire(ctx context.Context) error {
	if s.pool == nil {
		return nil
	}
	select {
	case s.pool <- struct{}{}:
		s.acquired = true
		return nil
	case <-ctx.Done():
		return cancelled()
	}
}

func (s *slot) release() {
	if s.acquired {
		<-s.pool
		s.acquired = false
	}
}

// runSleepCalls sleeps for each call of pg_sleep in the statement.
func (s *Server) runSleepCalls(ctx context.Context, st *stmt, params []value) error {
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
			return sqlError(codeInvalidText, "invalid input syntax for type double precision: %q", *v)
		}
		if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d. It returns a cancellation error if ctx ends first.
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

// attempt runs the statement once, holding the mutex. When another transaction holds a row lock, it
// returns a lockedError without having changed data; locks that it has acquired are kept.
func (s *Server) attempt(tx *transaction, st *stmt, params []value) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkServingLocked(); err != nil {
		return nil, err
	}
	if st.writes() {
		if err := s.checkWritableLocked(tx); err != nil {
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
		return s.selectRows(tx, st, params)
	case stmtCopyOut:
		return s.selectRows(tx, st, params)
	case stmtSelectExpressions:
		return s.selectExpressions(st, params)
	case stmtSeries:
		return selectSeries(st, params)
	}
	return nil, sqlError(codeNotSupported, "statement is not supported by the stand-in")
}

// checkWritableLocked returns an error if tx can't write. The caller holds the mutex.
func (s *Server) checkWritableLocked(tx *transaction) error {
	if tx.readOnly || s.role != rolePrimary {
		return sqlError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	if tx.wrote && tx.term != s.term {
		return sqlError(codeSerialization, "the transaction wrote in term %d, but the term is now %d", tx.term, s.term)
	}
	return nil
}

// eval returns the value of a literal or a parameter.
func eval(e expr, params []value) (value, error) {
	switch {
	case e.null:
		return nil, nil
	case e.param > len(params):
		return nil, sqlError(codeProtocol, "there is no parameter $%d", e.param)
	case e.param > 0:
		return params[e.param-1], nil
	case e.call != "":
		return nil, sqlError(codeNotSupported, "function %s is supported only in the select list of a SELECT without a table", e.call)
	}
	return textValue(e.text), nil
}

func (s *Server) create(tx *transaction, st *stmt) (*result, error) {
	if _, err := s.store.table(tx, st.table); err == nil {
		if st.ifNotExists {
			return &result{tag: "CREATE TABLE"}, nil
		}
		return nil, sqlError(codeDuplicateTable, "relation %q already exists", st.table)
	}
	if holder := s.store.tryLock(tx, lockKey{table: st.table}); holder != nil {
		return nil, &rowLockedError{holder}
	}
	t := &table{name: st.table, columns: st.columns, keyColumn: st.keyColumn, rows: map[string]row{}}
	tx.created[t.name] = t
	tx.changes = append(tx.changes, change{create: t})
	return &result{tag: "CREATE TABLE"}, nil
}

func (s *Server) insert(tx *transaction, st *stmt, params []value) (*result, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	indexes, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	rows := make([]row, len(st.rows))
	for i, exprs := range st.rows {
		if rows[i], err = buildRow(t, indexes, exprs, params); err != nil {
			return nil, err
		}
	}
	inserted, err := s.insertRows(tx, t, rows, st.ignoreConflicts)
	if err != nil {
		return nil, err
	}
	return returningResult(t, st, inserted, fmt.Sprintf("INSERT 0 %d", len(inserted)))
}

// buildRow returns a row with the values of exprs in the columns with the given indexes.
func buildRow(t *table, indexes []int, exprs []expr, params []value) (row, error) {
	if len(exprs) > len(indexes) {
		return nil, sqlError(codeSyntax, "INSERT has more expressions than target columns")
	}
	r := make(row, len(t.columns))
	for i, e := range exprs {
		v, err := eval(e, params)
		if err != nil {
			return nil, err
		}
		if err := checkValue(t.columns[indexes[i]].oid, v); err != nil {
			return nil, err
		}
		r[indexes[i]] = v
	}
	return r, nil
}

// insertRows inserts all rows or none, and returns the inserted ones. With ignoreConflicts set, rows
// whose primary key exists are skipped.
func (s *Server) insertRows(tx *transaction, t *table, rows []row, ignoreConflicts bool) ([]row, error) {
	for _, r := range rows {
		if r[t.keyColumn] == nil {
			return nil, sqlError(codeNotNull, "null value in column %q of relation %q", t.columns[t.keyColumn].name, t.name)
		}
		if holder := s.store.tryLock(tx, lockKey{t.name, *r[t.keyColumn]}); holder != nil {
			return nil, &rowLockedError{holder}
		}
	}
	var inserted []row
	insertedIDs := map[string]bool{}
	for _, r := range rows {
		id := *r[t.keyColumn]
		exists := insertedIDs[id] || s.store.get(tx, t, id) != nil
		if exists && !ignoreConflicts {
			return nil, sqlError(codeUnique, "duplicate key value violates unique constraint %q", t.name+"_pkey")
		}
		if !exists {
			insertedIDs[id] = true
			inserted = append(inserted, r)
		}
	}
	for _, r := range inserted {
		s.store.put(tx, t, *r[t.keyColumn], r)
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
		if holder := s.store.tryLock(tx, lockKey{t.name, *r[t.keyColumn]}); holder != nil {
			return nil, &rowLockedError{holder}
		}
	}
	if st.kind == stmtDelete {
		for _, r := range found {
			s.store.put(tx, t, *r[t.keyColumn], nil)
		}
		return returningResult(t, st, found, fmt.Sprintf("DELETE %d", len(found)))
	}
	changed := make([]row, len(found))
	for i, r := range found {
		if changed[i], err = assign(t, r, st.set, params); err != nil {
			return nil, err
		}
	}
	for i, r := range changed {
		s.store.put(tx, t, *found[i][t.keyColumn], r)
	}
	return returningResult(t, st, changed, fmt.Sprintf("UPDATE %d", len(changed)))
}

// assign returns a copy of r with the assignments of a SET clause.
func assign(t *table, r row, set []columnValue, params []value) (row, error) {
	out := slices.Clone(r)
	for _, cv := range set {
		i, err := t.index(cv.column)
		if err != nil {
			return nil, err
		}
		if i == t.keyColumn {
			return nil, sqlError(codeNotSupported, "changing a primary key is not supported by the stand-in")
		}
		v, err := eval(cv.value, params)
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
