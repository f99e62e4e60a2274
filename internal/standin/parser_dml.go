package standin

func (p *parser) insert() error {
	p.stmt.kind = stmtInsert
	if err := p.tableName(); err != nil {
		return err
	}
	if p.peek().text == "(" {
		if err := p.parenthesized(func() error { return p.nameList(&p.stmt.names) }); err != nil {
			return err
		}
	}
	if err := p.expectWords("values"); err != nil {
		return err
	}
	if err := p.list(p.insertRow); err != nil {
		return err
	}
	if p.acceptWords("on", "conflict") {
		if err := p.onConflict(); err != nil {
			return err
		}
	}
	return p.returning()
}

func (p *parser) insertRow() error {
	var row []expr
	err := p.parenthesized(func() error {
		return p.list(func() error {
			e, err := p.value()
			row = append(row, e)
			return err
		})
	})
	p.stmt.rows = append(p.stmt.rows, row)
	return err
}

func (p *parser) onConflict() error {
	var conflictColumns []string // parsed, but without effect: the primary key is the only unique constraint
	if p.peek().text == "(" {
		if err := p.parenthesized(func() error { return p.nameList(&conflictColumns) }); err != nil {
			return err
		}
	}
	if p.acceptWords("do", "update") {
		return sqlError(codeNotSupported, "ON CONFLICT DO UPDATE is not supported by the stand-in")
	}
	p.stmt.ignoreConflicts = true
	return p.expectWords("do", "nothing")
}

func (p *parser) returning() error {
	if !p.acceptWords("returning") {
		return nil
	}
	if p.acceptSymbol("*") {
		p.stmt.returning = []string{"*"}
		return nil
	}
	return p.nameList(&p.stmt.returning)
}

func (p *parser) update() error {
	p.stmt.kind = stmtUpdate
	if err := p.tableName(); err != nil {
		return err
	}
	if err := p.expectWords("set"); err != nil {
		return err
	}
	if err := p.list(func() error { return p.columnValue(&p.stmt.set) }); err != nil {
		return err
	}
	if err := p.whereClause(); err != nil {
		return err
	}
	return p.returning()
}

func (p *parser) delete() error {
	p.stmt.kind = stmtDelete
	if err := p.tableName(); err != nil {
		return err
	}
	if err := p.whereClause(); err != nil {
		return err
	}
	return p.returning()
}

// columnValue parses column = value.
func (p *parser) columnValue(dst *[]columnValue) error {
	name, err := p.name()
	if err != nil {
		return err
	}
	if err := p.expectSymbol("="); err != nil {
		return err
	}
	v, err := p.value()
	*dst = append(*dst, columnValue{name, v})
	return err
}

func (p *parser) whereClause() error {
	if !p.acceptWords("where") {
		return nil
	}
	for {
		if err := p.columnValue(&p.stmt.where); err != nil {
			return err
		}
		if !p.acceptWords("and") {
			return nil
		}
	}
}

// selectStatement parses SELECT. Columns and expressions can't be mixed.
func (p *parser) selectStatement() error {
	switch {
	case p.acceptWords("count"):
		p.stmt.count = true
		if err := p.parenthesized(func() error { return p.expectSymbol("*") }); err != nil {
			return err
		}
		return p.restOfSelect()
	case p.acceptSymbol("*"):
		return p.restOfSelect()
	case p.columnListFollows():
		if err := p.nameList(&p.stmt.names); err != nil {
			return err
		}
		return p.restOfSelect()
	}
	return p.selectExpressions()
}

// columnListFollows reports whether a list of column names comes next, and not an expression.
func (p *parser) columnListFollows() bool {
	t := p.peek()
	if t.kind == tokenQuoted {
		return true
	}
	if t.kind != tokenWord || t.text == "null" || t.text == "true" || t.text == "false" {
		return false
	}
	return p.tokens[p.pos+1].text != "("
}

// restOfSelect parses what follows the select list: FROM with a table, and WHERE, ORDER BY and LIMIT, or FROM with
// a call of group_status or generate_series.
func (p *parser) restOfSelect() error {
	p.stmt.kind = stmtSelect
	if err := p.expectWords("from"); err != nil {
		return err
	}
	if p.acceptWords("group_status") {
		p.stmt.kind = stmtGroupStatus
		return p.parenthesized(func() error { return nil })
	}
	if p.peek().text == "generate_series" {
		p.stmt.kind = stmtSeries
		return p.series()
	}
	if err := p.tableName(); err != nil {
		return err
	}
	if err := p.whereClause(); err != nil {
		return err
	}
	if p.acceptWords("order", "by") {
		if err := p.orderByColumn(); err != nil {
			return err
		}
	}
	if p.acceptWords("limit") {
		v, err := p.value()
		p.stmt.limit = &v
		return err
	}
	return nil
}

func (p *parser) orderByColumn() error {
	var err error
	if p.stmt.orderBy, err = p.name(); err != nil {
		return err
	}
	p.stmt.descending = p.acceptWords("desc")
	if !p.stmt.descending {
		p.acceptWords("asc")
	}
	return nil
}

// series parses the call of generate_series.
func (p *parser) series() error {
	e, err := p.functionCall()
	if err != nil {
		return err
	}
	if len(e.args) != 2 {
		return sqlError(codeNoFunction, "generate_series takes 2 arguments, got %d", len(e.args))
	}
	p.stmt.items = []selectItem{{name: "generate_series", expr: e}}
	return nil
}

// selectExpressions parses the expressions of a SELECT without a table.
func (p *parser) selectExpressions() error {
	p.stmt.kind = stmtSelectExpressions
	if p.peek().text == "generate_series" {
		p.stmt.kind = stmtSeries
		return p.series()
	}
	return p.list(func() error {
		e, err := p.value()
		if err != nil {
			return err
		}
		it := selectItem{name: "?column?", expr: e}
		if e.call != "" {
			it.name = e.call
		}
		if p.acceptWords("as") {
			it.name, err = p.name()
		}
		p.stmt.items = append(p.stmt.items, it)
		return err
	})
}

func (p *parser) copy() error {
	if err := p.tableName(); err != nil {
		return err
	}
	if p.peek().text == "(" {
		if err := p.parenthesized(func() error { return p.nameList(&p.stmt.names) }); err != nil {
			return err
		}
	}
	switch {
	case p.acceptWords("from", "stdin"):
		p.stmt.kind = stmtCopyIn
	case p.acceptWords("to", "stdout"):
		p.stmt.kind = stmtCopyOut
	default:
		return p.unexpected()
	}
	if t := p.peek(); t.kind == tokenEnd || t.text == ";" {
		return nil
	}
	if p.acceptWords("with") || p.peek().kind == tokenWord || p.peek().text == "(" {
		return sqlError(codeNotSupported, "COPY options are not supported by the stand-in, which always uses the text format")
	}
	return p.unexpected()
}
