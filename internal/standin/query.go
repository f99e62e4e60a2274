package standin

import (
	"cmp"
	"slices"
	"strconv"
)

// find returns the rows that match all conditions, in the order of their ids.
func (s *Server) find(tx *transaction, t *table, where []match, params []value) ([]row, error) {
	type condition struct {
		at   int
		want value
	}
	conditions := make([]condition, len(where))
	var key value
	for i, m := range where {
		at, err := t.index(m.column)
		if err != nil {
			return nil, err
		}
		v, err := eval(m.value, params)
		if err != nil || v == nil { // nothing equals NULL
			return nil, err
		}
		conditions[i] = condition{at, v}
		if at == t.key {
			key = v
		}
	}
	var ids []string
	if key != nil {
		ids = []string{*key}
	} else {
		ids = s.store.ids(tx, t)
	}
	var out []row
	for _, id := range ids {
		r := s.store.get(tx, t, id)
		matches := r != nil && !slices.ContainsFunc(conditions, func(c condition) bool {
			return r[c.at] == nil || *r[c.at] != *c.want
		})
		if matches {
			out = append(out, r)
		}
	}
	return out, nil
}

// query runs SELECT from a table, and COPY TO.
func (s *Server) query(tx *transaction, st *stmt, params []value) (*result, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	found, err := s.find(tx, t, st.where, params)
	if err != nil {
		return nil, err
	}
	if st.count {
		n := row{text(strconv.Itoa(len(found)))}
		return rowsResult([]column{{"count", oidInt8}}, []row{n}, "SELECT", true), nil
	}
	if err := order(t, found, st); err != nil {
		return nil, err
	}
	if found, err = limit(found, st.limit, params); err != nil {
		return nil, err
	}
	at, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	tag := "SELECT"
	if st.kind == stmtCopyOut {
		tag = "COPY"
	}
	return project(t, at, found, tag, true), nil
}

func order(t *table, rows []row, st *stmt) error {
	if st.order == "" {
		return nil
	}
	at, err := t.index(st.order)
	if err != nil {
		return err
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		c := compare(t.columns[at].oid, a[at], b[at])
		if st.descending {
			return -c
		}
		return c
	})
	return nil
}

// compare orders values of a type. NULL is last.
func compare(oid uint32, a, b value) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	case oid == oidInt8 || oid == oidInt4 || oid == oidInt2:
		x, _ := strconv.ParseInt(*a, 10, 64) // checked when stored
		y, _ := strconv.ParseInt(*b, 10, 64)
		return cmp.Compare(x, y)
	}
	return cmp.Compare(*a, *b)
}

func limit(rows []row, e *expr, params []value) ([]row, error) {
	if e == nil {
		return rows, nil
	}
	v, err := eval(*e, params)
	if err != nil || v == nil {
		return rows, err
	}
	n, err := strconv.Atoi(*v)
	if err != nil || n < 0 {
		return nil, sqlError(codeBadParameter, "LIMIT must be a number that is not negative")
	}
	return rows[:min(n, len(rows))], nil
}

// returning gives the rows that a RETURNING clause asks for.
func returning(t *table, st *stmt, rows []row, tag string) (*result, error) {
	if len(st.returning) == 0 {
		return &result{tag: tag}, nil
	}
	at, err := t.indexes(st.returning)
	if err != nil {
		return nil, err
	}
	return project(t, at, rows, tag, false), nil
}

func project(t *table, at []int, rows []row, tag string, counted bool) *result {
	columns := make([]column, len(at))
	for i, c := range at {
		columns[i] = t.columns[c]
	}
	out := make([]row, len(rows))
	for i, r := range rows {
		out[i] = make(row, len(at))
		for j, c := range at {
			out[i][j] = r[c]
		}
	}
	return rowsResult(columns, out, tag, counted)
}

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

// values runs SELECT without a table. The control functions were run before.
func (s *Server) values(st *stmt, params []value) (*result, error) {
	types := make([]uint32, max(st.params, len(params)))
	columns, err := describeItems(st, types)
	if err != nil {
		return nil, err
	}
	r := make(row, len(st.items))
	for i, it := range st.items {
		if r[i], err = s.item(it.expr, params); err != nil {
			return nil, err
		}
		if err := checkValue(columns[i].oid, r[i]); err != nil {
			return nil, err
		}
	}
	return rowsResult(columns, []row{r}, "SELECT", true), nil
}

func (s *Server) item(e expr, params []value) (value, error) {
	switch e.call {
	case "":
		return eval(e, params)
	case "pg_is_in_recovery":
		return boolean(s.role != rolePrimary), nil
	case "pg_sleep":
		return text(""), nil
	case "version":
		return text("PostgreSQL " + serverVersion + " (citronrun stand-in)"), nil
	case "current_database":
		return text(s.cfg.Database), nil
	}
	return nil, sqlError(codeNoFunction, "function %s does not exist", e.call)
}

func boolean(b bool) value {
	if b {
		return text("t")
	}
	return text("f")
}

func series(st *stmt, params []value) (*result, error) {
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
			return nil, sqlError(codeBadText, "invalid input syntax for type integer: %q", *v)
		}
	}
	n := bounds[0]
	next := func() (row, bool) {
		if n > bounds[1] {
			return nil, false
		}
		r := row{text(strconv.FormatInt(n, 10))}
		n++
		return r, true
	}
	return &result{columns: []column{{"generate_series", oidInt4}}, next: next, tag: "SELECT", counted: true}, nil
}
