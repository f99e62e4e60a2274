package standin

import (
	"cmp"
	"slices"
	"strconv"
)

// find returns the rows that meet all conditions, in the order of their primary keys.
func (s *Server) find(tx *transaction, t *table, where []columnValue, params []value) ([]row, error) {
	type condition struct {
		column int
		want   value
	}
	conditions := make([]condition, len(where))
	var wantedID value
	for i, cv := range where {
		column, err := t.index(cv.column)
		if err != nil {
			return nil, err
		}
		v, err := eval(cv.value, params)
		if err != nil || v == nil { // nothing equals NULL
			return nil, err
		}
		conditions[i] = condition{column, v}
		if column == t.keyColumn {
			wantedID = v
		}
	}
	var ids []string
	if wantedID != nil {
		ids = []string{*wantedID}
	} else {
		ids = s.store.ids(tx, t)
	}
	var out []row
	for _, id := range ids {
		r := s.store.get(tx, t, id)
		matches := r != nil && !slices.ContainsFunc(conditions, func(c condition) bool {
			return r[c.column] == nil || *r[c.column] != *c.want
		})
		if matches {
			out = append(out, r)
		}
	}
	return out, nil
}

// selectRows runs SELECT from a table, and COPY TO.
func (s *Server) selectRows(tx *transaction, st *stmt, params []value) (*result, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	found, err := s.find(tx, t, st.where, params)
	if err != nil {
		return nil, err
	}
	if st.count {
		n := row{textValue(strconv.Itoa(len(found)))}
		return rowsResult([]column{{"count", oidInt8}}, []row{n}, "SELECT", true), nil
	}
	if err := sortRows(t, found, st); err != nil {
		return nil, err
	}
	if found, err = limitRows(found, st.limit, params); err != nil {
		return nil, err
	}
	indexes, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	tag := "SELECT"
	if st.kind == stmtCopyOut {
		tag = "COPY"
	}
	return project(t, indexes, found, tag, true), nil
}

func sortRows(t *table, rows []row, st *stmt) error {
	if st.orderBy == "" {
		return nil
	}
	index, err := t.index(st.orderBy)
	if err != nil {
		return err
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		c := compareValues(t.columns[index].oid, a[index], b[index])
		if st.descending {
			return -c
		}
		return c
	})
	return nil
}

// compareValues compares two values of a type. NULL is greater than any other value.
func compareValues(oid uint32, a, b value) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	case oid == oidInt8 || oid == oidInt4 || oid == oidInt2:
		x, _ := strconv.ParseInt(*a, 10, 64) // never fails: checked when stored
		y, _ := strconv.ParseInt(*b, 10, 64)
		return cmp.Compare(x, y)
	}
	return cmp.Compare(*a, *b)
}

// limitRows returns the first rows up to LIMIT; no LIMIT or LIMIT NULL returns all.
func limitRows(rows []row, e *expr, params []value) ([]row, error) {
	if e == nil {
		return rows, nil
	}
	v, err := eval(*e, params)
	if err != nil || v == nil {
		return rows, err
	}
	n, err := strconv.Atoi(*v)
	if err != nil || n < 0 {
		return nil, sqlError(codeInvalidParameter, "LIMIT is %q, want an integer of at least 0", *v)
	}
	return rows[:min(n, len(rows))], nil
}

// returningResult returns the result of a statement with an optional RETURNING clause.
func returningResult(t *table, st *stmt, rows []row, tag string) (*result, error) {
	if len(st.returning) == 0 {
		return &result{tag: tag}, nil
	}
	indexes, err := t.indexes(st.returning)
	if err != nil {
		return nil, err
	}
	return project(t, indexes, rows, tag, false), nil
}

// project returns a result that holds the columns of rows with the given indexes.
func project(t *table, indexes []int, rows []row, tag string, counted bool) *result {
	columns := make([]column, len(indexes))
	for i, c := range indexes {
		columns[i] = t.columns[c]
	}
	out := make([]row, len(rows))
	for i, r := range rows {
		out[i] = make(row, len(indexes))
		for j, c := range indexes {
			out[i][j] = r[c]
		}
	}
	return rowsResult(columns, out, tag, counted)
}

// rowsResult returns a result with the given rows.
func rowsResult(columns []column, rows []row, tag string, counted bool) *result {
	i := 0
	next := func() (row, bool) {
		if i >= len(rows) {
			return nil, false
		}
		i++
		return rows[i-1], true
	}
	return &result{columns: columns, next: next, tag: tag, counted: counted}
}

// selectExpressions runs SELECT without a table. The control functions of the group are run by runControl instead.
func (s *Server) selectExpressions(st *stmt, params []value) (*result, error) {
	types := make([]uint32, max(st.params, len(params)))
	columns, err := describeSelectItems(st, types)
	if err != nil {
		return nil, err
	}
	r := make(row, len(st.items))
	for i, it := range st.items {
		if r[i], err = s.evalSelectItem(it.expr, params); err != nil {
			return nil, err
		}
		if err := checkValue(columns[i].oid, r[i]); err != nil {
			return nil, err
		}
	}
	return rowsResult(columns, []row{r}, "SELECT", true), nil
}

func (s *Server) evalSelectItem(e expr, params []value) (value, error) {
	switch e.call {
	case "":
		return eval(e, params)
	case "pg_is_in_recovery":
		return boolValue(s.role != rolePrimary), nil
	case "pg_sleep":
		return textValue(""), nil // runSleepCalls has slept
	case "version":
		return textValue("PostgreSQL " + serverVersion + " (citronrun stand-in)"), nil
	case "current_database":
		return textValue(s.cfg.Database), nil
	}
	return nil, sqlError(codeNoFunction, "function %s does not exist", e.call)
}

func boolValue(b bool) value {
	if b {
		return textValue("t")
	}
	return textValue("f")
}

// selectSeries runs generate_series. It generates each row when the row is read.
func selectSeries(st *stmt, params []value) (*result, error) {
	bounds := [2]int64{}
	for i, a := range st.items[0].expr.args {
		v, err := eval(a, params)
		if err != nil {
			return nil, err
		}
		if v == nil {
			return rowsResult([]column{{"generate_series", oidInt4}}, nil, "SELECT", true), nil
		}
		if bounds[i], err = strconv.ParseInt(*v, 10, 32); err != nil {
			return nil, sqlError(codeInvalidText, "invalid input syntax for type integer: %q", *v)
		}
	}
	n := bounds[0]
	next := func() (row, bool) {
		if n > bounds[1] {
			return nil, false
		}
		r := row{textValue(strconv.FormatInt(n, 10))}
		n++
		return r, true
	}
	return &result{columns: []column{{"generate_series", oidInt4}}, next: next, tag: "SELECT", counted: true}, nil
}
