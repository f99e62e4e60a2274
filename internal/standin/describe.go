package standin

import "slices"

// describe returns the parameter types and result columns of a statement. Columns are nil when it
// returns no rows. The caller holds the server's mutex.
func (s *Server) describe(tx *transaction, st *stmt, given []uint32) (params []uint32, columns []column, err error) {
	params = make([]uint32, max(st.params, len(given)))
	copy(params, given)
	for n, oid := range st.casts {
		setParam(params, expr{param: n}, oid)
	}
	columns, err = s.describeColumns(tx, st, params)
	if err != nil {
		return nil, nil, err
	}
	for i, oid := range params {
		if oid == 0 {
			params[i] = oidText
		}
	}
	return params, columns, nil
}

func setParam(params []uint32, e expr, oid uint32) {
	if e.param > 0 && params[e.param-1] == 0 {
		params[e.param-1] = oid
	}
}

func (s *Server) describeColumns(tx *transaction, st *stmt, params []uint32) ([]column, error) {
	switch st.kind {
	case stmtInsert, stmtUpdate, stmtDelete, stmtSelect, stmtCopyIn, stmtCopyOut:
		return s.describeTable(tx, st, params)
	case stmtValues:
		return describeItems(st, params)
	case stmtSeries:
		for _, a := range st.items[0].expr.args {
			setParam(params, a, oidInt4)
		}
		return []column{{"generate_series", oidInt4}}, nil
	case stmtShow:
		return []column{{st.name, oidText}}, nil
	case stmtStatus:
		return []column{{"role", oidText}, {"term", oidInt8}, {"received", oidText}, {"applied", oidText}}, nil
	}
	return nil, nil
}

func (s *Server) describeTable(tx *transaction, st *stmt, params []uint32) ([]column, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	if err := describeMatches(t, slices.Concat(st.set, st.where), params); err != nil {
		return nil, err
	}
	at, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	if st.kind == stmtInsert {
		for _, r := range st.rows {
			for i, e := range r {
				if i < len(at) {
					setParam(params, e, t.columns[at[i]].oid)
				}
			}
		}
	}
	if st.limit != nil {
		setParam(params, *st.limit, oidInt8)
	}
	switch {
	case st.kind == stmtCopyIn || st.kind == stmtCopyOut:
		return nil, nil
	case st.count:
		return []column{{"count", oidInt8}}, nil
	case st.kind != stmtSelect && len(st.returning) == 0:
		return nil, nil
	case st.kind != stmtSelect:
		if at, err = t.indexes(st.returning); err != nil {
			return nil, err
		}
	}
	out := make([]column, len(at))
	for i, c := range at {
		out[i] = t.columns[c]
	}
	return out, nil
}

func describeMatches(t *table, matches []match, params []uint32) error {
	for _, m := range matches {
		i, err := t.index(m.column)
		if err != nil {
			return err
		}
		setParam(params, m.value, t.columns[i].oid)
	}
	return nil
}

// functions maps the functions without a table to the type of their result.
var functions = map[string]uint32{
	"pg_sleep":          oidText,
	"pg_is_in_recovery": oidBool,
	"group_promote":     oidBool,
	"group_follow":      oidBool,
	"version":           oidText,
	"current_database":  oidText,
}

// argumentTypes maps functions to the types of their arguments.
var argumentTypes = map[string][]uint32{
	"pg_sleep":      {oidFloat8},
	"group_promote": {oidInt8},
	"group_follow":  {oidInt8, oidText},
}

func describeItems(st *stmt, params []uint32) ([]column, error) {
	out := make([]column, len(st.items))
	for i, it := range st.items {
		e := it.expr
		out[i] = column{it.name, e.oid}
		if e.call != "" {
			oid, ok := functions[e.call]
			if !ok || len(e.args) != len(argumentTypes[e.call]) {
				return nil, sqlError(codeNoFunction, "function %s does not exist", e.call)
			}
			for j, a := range e.args {
				setParam(params, a, argumentTypes[e.call][j])
			}
			out[i].oid = oid
			continue
		}
		if e.param > 0 && e.oid == 0 {
			setParam(params, e, oidText)
			out[i].oid = params[e.param-1]
		}
	}
	return out, nil
}
