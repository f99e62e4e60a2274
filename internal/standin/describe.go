package standin

import "slices"

// describe returns the parameter types and result columns of a statement. Declared parameter types are
// kept, the other ones inferred; text is the default. Columns are nil when the statement returns no
// rows. The caller holds the server's mutex.
func (s *Server) describe(tx *transaction, st *stmt, declared []uint32) (params []uint32, columns []column, err error) {
	params = make([]uint32, max(st.params, len(declared)))
	copy(params, declared)
	for n, oid := range st.casts {
		inferParam(params, expr{param: n}, oid)
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

// inferParam sets the type of the parameter e. It has no effect if the type is set or e isn't a parameter.
func inferParam(params []uint32, e expr, oid uint32) {
	if e.param > 0 && params[e.param-1] == 0 {
		params[e.param-1] = oid
	}
}

// describeColumns returns the result columns of a statement and infers parameter types.
func (s *Server) describeColumns(tx *transaction, st *stmt, params []uint32) ([]column, error) {
	switch st.kind {
	case stmtInsert, stmtUpdate, stmtDelete, stmtSelect, stmtCopyIn, stmtCopyOut:
		return s.describeTable(tx, st, params)
	case stmtSelectExpressions:
		return describeSelectItems(st, params)
	case stmtSeries:
		for _, a := range st.items[0].expr.args {
			inferParam(params, a, oidInt4)
		}
		return []column{{"generate_series", oidInt4}}, nil
	case stmtShow:
		return []column{{st.name, oidText}}, nil
	case stmtGroupStatus:
		return []column{{"role", oidText}, {"term", oidInt8}, {"received", oidText}, {"applied", oidText}}, nil
	}
	return nil, nil
}

func (s *Server) describeTable(tx *transaction, st *stmt, params []uint32) ([]column, error) {
	t, err := s.store.table(tx, st.table)
	if err != nil {
		return nil, err
	}
	if err := describeColumnValues(t, slices.Concat(st.set, st.where), params); err != nil {
		return nil, err
	}
	indexes, err := t.indexes(st.names)
	if err != nil {
		return nil, err
	}
	if st.kind == stmtInsert {
		for _, r := range st.rows {
			for i, e := range r {
				if i < len(indexes) {
					inferParam(params, e, t.columns[indexes[i]].oid)
				}
			}
		}
	}
	if st.limit != nil {
		inferParam(params, *st.limit, oidInt8)
	}
	switch {
	case st.kind == stmtCopyIn || st.kind == stmtCopyOut:
		return nil, nil
	case st.count:
		return []column{{"count", oidInt8}}, nil
	case st.kind != stmtSelect && len(st.returning) == 0:
		return nil, nil
	case st.kind != stmtSelect:
		if indexes, err = t.indexes(st.returning); err != nil {
			return nil, err
		}
	}
	out := make([]column, len(indexes))
	for i, c := range indexes {
		out[i] = t.columns[c]
	}
	return out, nil
}

// describeColumnValues infers the types of parameters that are compared with or assigned to a column.
func describeColumnValues(t *table, columnValues []columnValue, params []uint32) error {
	for _, cv := range columnValues {
		i, err := t.index(cv.column)
		if err != nil {
			return err
		}
		inferParam(params, cv.value, t.columns[i].oid)
	}
	return nil
}

// resultTypes maps the functions that a SELECT without a table can call to their result types.
var resultTypes = map[string]uint32{
	"pg_sleep":          oidText,
	"pg_is_in_recovery": oidBool,
	"group_promote":     oidBool,
	"group_follow":      oidBool,
	"version":           oidText,
	"current_database":  oidText,
}

// argumentTypes maps functions to their argument types. Functions without arguments are left out.
var argumentTypes = map[string][]uint32{
	"pg_sleep":      {oidFloat8},
	"group_promote": {oidInt8},
	"group_follow":  {oidInt8, oidText},
}

// describeSelectItems returns the result columns of a SELECT without a table and infers parameter types.
func describeSelectItems(st *stmt, params []uint32) ([]column, error) {
	out := make([]column, len(st.items))
	for i, it := range st.items {
		e := it.expr
		out[i] = column{it.name, e.oid}
		if e.call != "" {
			oid, ok := resultTypes[e.call]
			if !ok || len(e.args) != len(argumentTypes[e.call]) {
				return nil, sqlError(codeNoFunction, "function %s does not exist", e.call)
			}
			for j, a := range e.args {
				inferParam(params, a, argumentTypes[e.call][j])
			}
			out[i].oid = oid
			continue
		}
		if e.param > 0 && e.oid == 0 {
			inferParam(params, e, oidText)
			out[i].oid = params[e.param-1]
		}
	}
	return out, nil
}
