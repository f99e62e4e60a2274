package standin

import (
	"strconv"
	"strings"
)

// parser is a recursive descent parser of one SQL text.
type parser struct {
	sql    string
	tokens []token
	pos    int   // index of the next token
	stmt   *stmt // statement being parsed
}

// parseSQL parses the statements of a text, which are separated by semicolons. Empty statements are
// dropped.
func parseSQL(sql string) ([]*stmt, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{sql: sql, tokens: tokens}
	var out []*stmt
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return out, nil
		}
		p.stmt = &stmt{casts: map[int]uint32{}}
		if err := p.statement(); err != nil {
			return nil, err
		}
		if p.peek().kind != tokenEnd && p.peek().text != ";" {
			return nil, p.unexpected()
		}
		out = append(out, p.stmt)
	}
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) advance() token {
	t := p.tokens[p.pos]
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

func (p *parser) unexpected() error { return syntaxError(p.sql, p.peek().offset) }

// acceptWords consumes the given words if they come next, all of them and in this order.
func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		index := min(p.pos+i, len(p.tokens)-1)
		if t := p.tokens[index]; t.kind != tokenWord || t.text != w {
			return false
		}
	}
	p.pos += len(words)
	return true
}

func (p *parser) acceptSymbol(s string) bool {
	if t := p.peek(); t.kind != tokenSymbol || t.text != s {
		return false
	}
	p.pos++
	return true
}

func (p *parser) expectWords(words ...string) error {
	if !p.acceptWords(words...) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) expectSymbol(s string) error {
	if !p.acceptSymbol(s) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) name() (string, error) {
	t := p.peek()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return "", p.unexpected()
	}
	p.pos++
	return t.text, nil
}

// tableName parses a table name with an optional schema, which is ignored.
func (p *parser) tableName() (err error) {
	if p.stmt.table, err = p.name(); err != nil {
		return err
	}
	if p.acceptSymbol(".") {
		p.stmt.table, err = p.name()
	}
	return err
}

// list parses one or more elements that are separated by commas.
func (p *parser) list(element func() error) error {
	for {
		if err := element(); err != nil {
			return err
		}
		if !p.acceptSymbol(",") {
			return nil
		}
	}
}

func (p *parser) parenthesized(inside func() error) error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	if err := inside(); err != nil {
		return err
	}
	return p.expectSymbol(")")
}

func (p *parser) nameList(dst *[]string) error {
	return p.list(func() error {
		n, err := p.name()
		*dst = append(*dst, n)
		return err
	})
}

func (p *parser) statement() error {
	switch {
	case p.acceptWords("begin"), p.acceptWords("start", "transaction"):
		return p.begin()
	case p.acceptWords("commit"), p.acceptWords("end"):
		p.stmt.kind = stmtCommit
		p.skipTransactionWord()
		return nil
	case p.acceptWords("rollback"), p.acceptWords("abort"):
		p.stmt.kind = stmtRollback
		p.skipTransactionWord()
		return nil
	case p.acceptWords("set"):
		return p.setStatement()
	case p.acceptWords("show"):
		return p.show()
	case p.acceptWords("create", "table"):
		return p.create()
	case p.acceptWords("insert", "into"):
		return p.insert()
	case p.acceptWords("update"):
		return p.update()
	case p.acceptWords("delete", "from"):
		return p.delete()
	case p.acceptWords("select"):
		return p.selectStatement()
	case p.acceptWords("copy"):
		return p.copy()
	}
	return p.unknownStatement()
}

// unknownStatement returns the error for a statement that starts with no supported keyword: not supported
// if PostgreSQL has such a statement, else a syntax error.
func (p *parser) unknownStatement() error {
	const unsupported = " alter analyze call checkpoint cluster comment create deallocate declare discard do drop " +
		"execute explain fetch grant listen lock merge notify prepare refresh reindex release reset " +
		"revoke savepoint truncate unlisten vacuum values with "
	t := p.peek()
	if t.kind == tokenWord && strings.Contains(unsupported, " "+t.text+" ") {
		return sqlError(codeNotSupported, "%s is not supported by the stand-in", strings.ToUpper(t.text))
	}
	return p.unexpected()
}

// skipTransactionWord consumes the optional word TRANSACTION or WORK.
func (p *parser) skipTransactionWord() {
	if !p.acceptWords("transaction") {
		p.acceptWords("work")
	}
}

func (p *parser) begin() error {
	p.stmt.kind = stmtBegin
	p.skipTransactionWord()
	for {
		switch {
		case p.acceptWords("read", "only"):
			p.stmt.readOnly = true
		case p.acceptWords("read", "write"):
		case p.acceptWords("isolation", "level", "read", "committed"):
		case p.acceptWords("not", "deferrable"), p.acceptWords("deferrable"):
		case p.acceptWords("isolation", "level"):
			return sqlError(codeNotSupported, "only the isolation level READ COMMITTED is supported")
		case p.acceptSymbol(","):
		default:
			return nil
		}
	}
}

// settingName parses a parameter name, which may contain dots.
func (p *parser) settingName() (string, error) {
	name, err := p.name()
	for err == nil && p.acceptSymbol(".") {
		var suffix string
		suffix, err = p.name()
		name += "." + suffix
	}
	return name, err
}

// setStatement parses SET, whose value is skipped.
func (p *parser) setStatement() (err error) {
	p.stmt.kind = stmtSet
	if !p.acceptWords("session") {
		p.acceptWords("local")
	}
	if p.stmt.name, err = p.settingName(); err != nil {
		return err
	}
	if !p.acceptSymbol("=") {
		p.acceptWords("to")
	}
	if t := p.peek(); t.kind == tokenEnd || t.text == ";" {
		return p.unexpected()
	}
	for t := p.peek(); t.kind != tokenEnd && (t.kind != tokenSymbol || t.text != ";"); t = p.peek() {
		p.pos++
	}
	return nil
}

func (p *parser) show() (err error) {
	p.stmt.kind = stmtShow
	if p.acceptWords("transaction", "isolation", "level") {
		p.stmt.name = "transaction_isolation"
		return nil
	}
	p.stmt.name, err = p.settingName()
	return err
}

func (p *parser) create() error {
	p.stmt.kind = stmtCreate
	p.stmt.ifNotExists = p.acceptWords("if", "not", "exists")
	if err := p.tableName(); err != nil {
		return err
	}
	return p.parenthesized(func() error { return p.list(p.columnDef) })
}

func (p *parser) columnDef() error {
	name, err := p.name()
	if err != nil {
		return err
	}
	oid, err := p.typeName()
	if err != nil {
		return err
	}
	for {
		switch {
		case p.acceptWords("primary", "key"):
			p.stmt.keyColumn = len(p.stmt.columns)
		case p.acceptWords("not", "null"), p.acceptWords("null"):
		default:
			p.stmt.columns = append(p.stmt.columns, column{name, oid})
			return nil
		}
	}
}

func (p *parser) typeName() (uint32, error) {
	t := p.advance()
	if t.kind != tokenWord {
		p.pos = max(p.pos-1, 0)
		return 0, p.unexpected()
	}
	switch t.text {
	case "text", "uuid", "timestamptz", "jsonb", "json", "name":
		return oidText, nil
	case "varchar":
		if p.acceptSymbol("(") {
			p.advance()
			return oidVarchar, p.expectSymbol(")")
		}
		return oidVarchar, nil
	case "int", "integer", "int4":
		return oidInt4, nil
	case "bigint", "int8":
		return oidInt8, nil
	case "smallint", "int2":
		return oidInt2, nil
	case "bool", "boolean":
		return oidBool, nil
	case "float8":
		return oidFloat8, nil
	case "double":
		return oidFloat8, p.expectWords("precision")
	}
	return 0, sqlError(codeNotSupported, "type %s is not supported by the stand-in", t.text)
}

// value parses a literal, a parameter or a function call, with optional casts.
func (p *parser) value() (expr, error) {
	e, err := p.uncastValue()
	for err == nil && p.acceptSymbol("::") {
		e.oid, err = p.typeName()
		if e.param > 0 && p.stmt.casts[e.param] == 0 {
			p.stmt.casts[e.param] = e.oid
		}
	}
	return e, err
}

func (p *parser) uncastValue() (expr, error) {
	t := p.peek()
	switch {
	case p.acceptSymbol("-"):
		n := p.advance()
		if n.kind != tokenNumber {
			return expr{}, p.unexpected()
		}
		return numberLiteral("-" + n.text), nil
	case t.kind == tokenNumber:
		p.pos++
		return numberLiteral(t.text), nil
	case t.kind == tokenString:
		p.pos++
		return expr{text: t.text, oid: oidText}, nil
	case t.kind == tokenParam:
		p.pos++
		n, err := strconv.Atoi(t.text)
		p.stmt.params = max(p.stmt.params, n)
		return expr{param: n}, err
	case p.acceptWords("null"):
		return expr{null: true, oid: oidText}, nil
	case p.acceptWords("true"):
		return expr{text: "t", oid: oidBool}, nil
	case p.acceptWords("false"):
		return expr{text: "f", oid: oidBool}, nil
	case t.kind == tokenWord && p.tokens[p.pos+1].text == "(" && p.tokens[p.pos+1].kind == tokenSymbol:
		return p.functionCall()
	}
	return expr{}, p.unexpected()
}

// numberLiteral returns a literal of PostgreSQL's default type for the number. A number with a decimal
// point is a float8 here.
func numberLiteral(text string) expr {
	if strings.Contains(text, ".") {
		return expr{text: text, oid: oidFloat8}
	}
	if _, err := strconv.ParseInt(text, 10, 32); err != nil {
		return expr{text: text, oid: oidInt8}
	}
	return expr{text: text, oid: oidInt4}
}

// functionCall parses a function call. It doesn't check that a name and an opening parenthesis come next.
func (p *parser) functionCall() (expr, error) {
	e := expr{call: p.advance().text}
	p.pos++ // the opening parenthesis
	if p.acceptSymbol(")") {
		return e, nil
	}
	err := p.list(func() error {
		if t := p.peek(); t.kind == tokenWord && p.tokens[p.pos+1].text == "(" {
			return sqlError(codeNotSupported, "nested calls are not supported by the stand-in")
		}
		arg, err := p.value()
		e.args = append(e.args, arg)
		return err
	})
	if err != nil {
		return e, err
	}
	return e, p.expectSymbol(")")
}
