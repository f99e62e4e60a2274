package standin

func (p *parser) insert() error {
	p.stmt.kind = stmtInsert
	if err := p.tableName(); err != nil {
		return err
	}
	if p.peek().text == "(" {
		if err := p.parens(func() error { return p.nameList(&p.stmt.names) }); err != nil {
			return err
		}
	}
	if err := p.expectWord("values"); err != nil {
		return err
	}
	if err := p.list(p.insertRow); err != nil {
		return err
	}
	if p.word("on", "conflict") {
		if err := p.conflict(); err != nil {
			return err
		}
	}
	return p.returning()
}

func (p *parser) insertRow() error {
	var row []expr
	err := p.parens(func() error {
		return p.list(func() error {
			e, err := p.value()
			row = append(row, e)
			return err
		})
	})
	p.stmt.rows = append(p.stmt.rows, row)
	return err
}

func (p *parser) conflict() error {
	var ignored []string
	if p.peek().text == "(" {
		if err := p.parens(func() error { return p.nameList(&ignored) }); err != nil {
			return err
		}
	}
	if p.word("do", "update") {
		return sqlError(codeNotSupported, "ON CONFLICT DO UPDATE is not supported by the stand-in")
	}
	p.stmt.ignore = true
	return p.expectWord("do", "nothing")
}

func (p *parser) returning() error {
	if !p.word("returning") {
		return nil
	}
	if p.symbol("*") {
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
	if err := p.expectWord("set"); err != nil {
		return err
	}
	if err := p.list(func() error { return p.match(&p.stmt.set) }); err != nil {
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

// match reads column = value.
func (p *parser) match(dst *[]match) error {
	name, err := p.name()
	if err != nil {
		return err
	}
	if err := p.expectSymbol("="); err != nil {
		return err
	}
	v, err := p.value()
	*dst = append(*dst, match{name, v})
	return err
}

func (p *parser) whereClause() error {
	if !p.word("where") {
		return nil
	}
	for {
		if err := p.match(&p.stmt.where); err != nil {
			return err
		}
		if !p.word("and") {
			return nil
		}
	}
}

func (p *parser) selection() error {
	switch {
	case p.word("count"):
		p.stmt.count = true
		if err := p.parens(func() error { return p.expectSymbol("*") }); err != nil {
			return err
		}
		return p.fromTable()
	case p.symbol("*"):
		return p.fromTable()
	case p.columnsAhead():
		if err := p.nameList(&p.stmt.names); err != nil {
			return err
		}
		return p.fromTable()
	}
	return p.selectValues()
}

// columnsAhead reports whether a list of column names comes next.
func (p *parser) columnsAhead() bool {
	t := p.peek()
	if t.kind == tokenQuoted {
		return true
	}
	if t.kind != tokenWord || t.text == "null" || t.text == "true" || t.text == "false" {
		return false
	}
	return p.tokens[p.pos+1].text != "("
}

// fromTable reads the rest of a SELECT from its FROM clause on.
func (p *parser) fromTable() error {
	p.stmt.kind = stmtSelect
	if err := p.expectWord("from"); err != nil {
		return err
	}
	if p.word("group_status") {
		p.stmt.kind = stmtStatus
		return p.parens(func() error { return nil })
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
	if p.word("order", "by") {
		if err := p.order(); err != nil {
			return err
		}
	}
	if p.word("limit") {
		v, err := p.value()
		p.stmt.limit = &v
		return err
	}
	return nil
}

func (p *parser) order() error {
	var err error
	if p.stmt.order, err = p.name(); err != nil {
		return err
	}
	p.stmt.descending = p.word("desc")
	if !p.stmt.descending {
		p.word("asc")
	}
	return nil
}

func (p *parser) series() error {
	e, err := p.call()
	if err != nil {
		return err
	}
	if len(e.args) != 2 {
		return sqlError(codeNoFunction, "generate_series takes two arguments")
	}
	p.stmt.items = []item{{name: "generate_series", expr: e}}
	return nil
}

func (p *parser) selectValues() error {
	p.stmt.kind = stmtValues
	if p.peek().text == "generate_series" {
		p.stmt.kind = stmtSeries
		return p.series()
	}
	return p.list(func() error {
		e, err := p.value()
		if err != nil {
			return err
		}
		it := item{name: "?column?", expr: e}
		if e.call != "" {
			it.name = e.call
		}
		if p.word("as") {
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
		if err := p.parens(func() error { return p.nameList(&p.stmt.names) }); err != nil {
			return err
		}
	}
	switch {
	case p.word("from", "stdin"):
		p.stmt.kind = stmtCopyIn
	case p.word("to", "stdout"):
		p.stmt.kind = stmtCopyOut
	default:
		return p.unexpected()
	}
	if t := p.peek(); t.kind == tokenEnd || t.text == ";" {
		return nil
	}
	if p.word("with") || p.peek().kind == tokenWord || p.peek().text == "(" {
		return sqlError(codeNotSupported, "only COPY in text format is supported by the stand-in")
	}
	return p.unexpected()
}
