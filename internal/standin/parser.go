package standin

import (
	"strconv"
	"strings"
)

// parser is a recursive descent parser over one SQL text.
type parser struct {
	sql    string
	tokens []token
	pos    int
	stmt   *stmt
}

// parseSQL parses the statements of a text, separated by semicolons. Empty statements between
// semicolons are dropped; an empty text gives no statement.
func parseSQL(sql string) ([]*stmt, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{sql: sql, tokens: tokens}
	var out []*stmt
	for {
		for p.symbol(";") {
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

func (p *parser) unexpected() error { return syntaxError(p.sql, p.peek().at) }

// word consumes the given words if all of them come next.
func (p *parser) word(words ...string) bool {
	for i, w := range words {
		at := min(p.pos+i, len(p.tokens)-1)
		if t := p.tokens[at]; t.kind != tokenWord || t.text != w {
			return false
		}
	}
	p.pos += len(words)
	return true
}

func (p *parser) symbol(s string) bool {
	if t := p.peek(); t.kind != tokenSymbol || t.text != s {
		return false
	}
	p.pos++
	return true
}

func (p *parser) expectWord(words ...string) error {
	if !p.word(words...) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) expectSymbol(s string) error {
	if !p.symbol(s) {
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

// tableName reads a name with an optional schema, which is ignored.
func (p *parser) tableName() (err error) {
	if p.stmt.table, err = p.name(); err != nil {
		return err
	}
	if p.symbol(".") {
		p.stmt.table, err = p.name()
	}
	return err
}

// list reads one or more elements separated by commas.
func (p *parser) list(element func() error) error {
	for {
		if err := element(); err != nil {
			return err
		}
		if !p.symbol(",") {
			return nil
		}
	}
}

func (p *parser) parens(inside func() error) error {
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
	case p.word("begin"), p.word("start", "transaction"):
		return p.begin()
	case p.word("commit"), p.word("end"):
		p.stmt.kind = stmtCommit
		p.transactionWord()
		return nil
	case p.word("rollback"), p.word("abort"):
		p.stmt.kind = stmtRollback
		p.transactionWord()
		return nil
	case p.word("set"):
		return p.setting()
	case p.word("show"):
		return p.show()
	case p.word("create", "table"):
		return p.create()
	case p.word("insert", "into"):
		return p.insert()
	case p.word("update"):
		return p.update()
	case p.word("delete", "from"):
		return p.delete()
	case p.word("select"):
		return p.selection()
	case p.word("copy"):
		return p.copy()
	}
	return p.unknownStatement()
}

// unknownStatement tells SQL that the stand-in lacks from text that isn't SQL.
func (p *parser) unknownStatement() error {
	const known = " alter analyze call checkpoint cluster comment create deallocate declare discard do drop " +
		"execute explain fetch grant listen lock merge notify prepare refresh reindex release reset " +
		"revoke savepoint truncate unlisten vacuum values with "
	t := p.peek()
	if t.kind == tokenWord && strings.Contains(known, " "+t.text+" ") {
		return sqlError(codeNotSupported, "%s is not supported by the stand-in", strings.ToUpper(t.text))
	}
	return p.unexpected()
}

func (p *parser) transactionWord() {
	if !p.word("transaction") {
		p.word("work")
	}
}

func (p *parser) begin() error {
	p.stmt.kind = stmtBegin
	p.transactionWord()
	for {
		switch {
		case p.word("read", "only"):
			p.stmt.readOnly = true
		case p.word("read", "write"):
		case p.word("isolation", "level", "read", "committed"):
		case p.word("not", "deferrable"), p.word("deferrable"):
		case p.word("isolation", "level"):
			return sqlError(codeNotSupported, "only the isolation level READ COMMITTED is supported")
		case p.symbol(","):
		default:
			return nil
		}
	}
}

func (p *parser) settingName() (string, error) {
	n, err := p.name()
	for err == nil && p.symbol(".") {
		var part string
		part, err = p.name()
		n += "." + part
	}
	return n, err
}

func (p *parser) setting() (err error) {
	p.stmt.kind = stmtSet
	if !p.word("session") {
		p.word("local")
	}
	if p.stmt.name, err = p.settingName(); err != nil {
		return err
	}
	if !p.symbol("=") {
		p.word("to")
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
	if p.word("transaction", "isolation", "level") {
		p.stmt.name = "transaction_isolation"
		return nil
	}
	p.stmt.name, err = p.settingName()
	return err
}

func (p *parser) create() error {
	p.stmt.kind = stmtCreate
	p.stmt.ifNotExists = p.word("if", "not", "exists")
	if err := p.tableName(); err != nil {
		return err
	}
	return p.parens(func() error { return p.list(p.columnDef) })
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
		case p.word("primary", "key"):
			p.stmt.key = len(p.stmt.columns)
		case p.word("not", "null"), p.word("null"):
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
		if p.symbol("(") {
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
		return oidFloat8, p.expectWord("precision")
	}
	return 0, sqlError(codeNotSupported, "type %s is not supported by the stand-in", t.text)
}

// value reads a literal, a parameter or a function call, with optional casts.
func (p *parser) value() (expr, error) {
	e, err := p.bareValue()
	for err == nil && p.symbol("::") {
		e.oid, err = p.typeName()
		if e.param > 0 && p.stmt.casts[e.param] == 0 {
			p.stmt.casts[e.param] = e.oid
		}
	}
	return e, err
}

func (p *parser) bareValue() (expr, error) {
	t := p.peek()
	switch {
	case p.symbol("-"):
		n := p.advance()
		if n.kind != tokenNumber {
			return expr{}, p.unexpected()
		}
		return number("-" + n.text), nil
	case t.kind == tokenNumber:
		p.pos++
		return number(t.text), nil
	case t.kind == tokenString:
		p.pos++
		return expr{text: t.text, oid: oidText}, nil
	case t.kind == tokenParam:
		p.pos++
		n, err := strconv.Atoi(t.text)
		p.stmt.params = max(p.stmt.params, n)
		return expr{param: n}, err
	case p.word("null"):
		return expr{null: true, oid: oidText}, nil
	case p.word("true"):
		return expr{text: "t", oid: oidBool}, nil
	case p.word("false"):
		return expr{text: "f", oid: oidBool}, nil
	case t.kind == tokenWord && p.tokens[p.pos+1].text == "(" && p.tokens[p.pos+1].kind == tokenSymbol:
		return p.call()
	}
	return expr{}, p.unexpected()
}

func number(text string) expr {
	if strings.Contains(text, ".") {
		return expr{text: text, oid: oidFloat8}
	}
	if _, err := strconv.ParseInt(text, 10, 32); err != nil {
		return expr{text: text, oid: oidInt8}
	}
	return expr{text: text, oid: oidInt4}
}

func (p *parser) call() (expr, error) {
	e := expr{call: p.advance().text}
	p.pos++ // the parenthesis
	if p.symbol(")") {
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
