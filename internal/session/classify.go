package session

import (
	"strings"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Kind is the class of a statement, which determines how it is handled.
type Kind uint8

// The kinds of statements. Every statement that isn't recognized as another kind is a Write.
const (
	Write Kind = iota
	Read
	Empty
	Begin
	Commit
	Rollback
	Set         // of a citron setting, or of one that drivers set at connect
	Show        // of a citron setting
	Unsupported // not supported in transaction pooling
)

// Statement is a classified request.
type Statement struct {
	Kind        Kind
	ReadOnly    bool           // Begin: the transaction is READ ONLY
	StartsBlock bool           // the request starts with BEGIN, even if more statements follow
	Name        string         // Set, Show: lower-case name of the setting
	Value       string         // Set: the value as text
	Reset       bool           // Set: reset to the default
	Err         *verdict.Error // Unsupported: the error for the caller
}

// headTokens is the number of leading tokens of a statement that are kept for classification.
const headTokens = 16

// scanResult holds what one pass over the tokens of a single statement has found.
type scanResult struct {
	head           []token // the first headTokens tokens, without leading parentheses
	modifies       bool    // INSERT, UPDATE, DELETE or MERGE occurs
	into           bool    // INTO
	intoTemp       bool    // INTO TEMP or INTO TEMPORARY
	rowLocks       bool    // FOR UPDATE, FOR SHARE and their variants
	analyze        bool    // ANALYZE or ANALYSE
	withHold       bool    // WITH HOLD
	sessionLock    bool    // a function that takes or releases a session advisory lock
	setConfigCalls int     // calls of set_config, minus those that are local to the transaction
}

// Classify classifies a request, which may hold several statements, by its keywords. It doesn't validate
// SQL: a statement that it doesn't recognize is a Write, and the target reports errors.
func Classify(sql string) Statement {
	l := lexer{sql: sql}
	request := Statement{Kind: Empty}
	for more := true; more; {
		var next Statement
		next, more = classifyNext(&l)
		switch {
		case next.Kind == Empty:
			continue
		case request.Kind == Empty:
			request = next
		default:
			request = combine(request, next)
		}
		if request.Kind == Unsupported {
			return request
		}
	}
	return request
}

// combine adds the next statement of a request to the classification of the earlier ones. The request is
// a Read only if every statement is one.
func combine(earlier, next Statement) Statement {
	if next.Kind == Unsupported {
		return next
	}
	if isSetting(earlier.Kind) || isSetting(next.Kind) {
		return unsupported("SET, RESET and SHOW of a citron setting or a session setting must be the only statement of a request")
	}
	if earlier.Kind == Read && next.Kind == Read {
		return earlier
	}
	return Statement{Kind: Write, StartsBlock: earlier.StartsBlock}
}

func isSetting(k Kind) bool { return k == Set || k == Show }

// classifyNext classifies the statement up to the next semicolon or the end of the text. more is true if
// there was a semicolon.
func classifyNext(l *lexer) (st Statement, more bool) {
	var s scanResult
	more = s.scan(l)
	if len(s.head) == 0 {
		return Statement{Kind: Empty}, more
	}
	return s.classify(), more
}

// scan reads tokens up to the next semicolon or the end of the text.
func (s *scanResult) scan(l *lexer) (more bool) {
	var prev, beforePrev token
	for {
		t := l.next()
		if t.kind == tokenEnd {
			return false
		}
		if t.kind == tokenSymbol && t.text == ";" {
			return true
		}
		if len(s.head) < headTokens && (len(s.head) > 0 || t.text != "(" || t.kind != tokenSymbol) {
			s.head = append(s.head, t)
		}
		s.addToken(beforePrev, prev, t)
		beforePrev, prev = prev, t
	}
}

// addToken updates the result with the token t and the two tokens before it.
func (s *scanResult) addToken(beforePrev, prev, t token) {
	if t.kind == tokenSymbol {
		if t.text == ")" && prev.isKeyword("TRUE") && beforePrev.text == "," {
			s.setConfigCalls--
		}
		return
	}
	if t.kind == tokenString {
		return
	}
	switch {
	case t.isKeyword("INSERT"), t.isKeyword("UPDATE"), t.isKeyword("DELETE"), t.isKeyword("MERGE"):
		s.modifies = true
	case t.isKeyword("INTO"):
		s.into = true
	case t.isKeyword("ANALYZE"), t.isKeyword("ANALYSE"):
		s.analyze = true
	case t.isIdentifier("set_config"):
		s.setConfigCalls++
	case isSessionLock(t):
		s.sessionLock = true
	}
	s.rowLocks = s.rowLocks || prev.isKeyword("FOR") && (t.isKeyword("UPDATE") || t.isKeyword("SHARE") || t.isKeyword("NO") || t.isKeyword("KEY"))
	s.withHold = s.withHold || prev.isKeyword("WITH") && t.isKeyword("HOLD")
	s.intoTemp = s.intoTemp || prev.isKeyword("INTO") && (t.isKeyword("TEMP") || t.isKeyword("TEMPORARY"))
}

// isSessionLock reports whether t names a function that takes or releases session advisory locks.
func isSessionLock(t token) bool {
	const minLength = len("pg_advisory_lock") // the shortest of these names
	if len(t.text) < minLength || t.kind != tokenWord && t.kind != tokenQuotedIdentifier {
		return false
	}
	name := strings.ToLower(t.text)
	isLock := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return isLock && !strings.Contains(name, "_xact_")
}

// token returns the i-th leading token, or one of kind tokenEnd if there are fewer.
func (s *scanResult) token(i int) token {
	if i < len(s.head) {
		return s.head[i]
	}
	return token{}
}

func (s *scanResult) classify() Statement {
	if s.sessionLock {
		return unsupported("session advisory locks are not supported; use pg_advisory_xact_lock")
	}
	if s.setConfigCalls > 0 {
		return unsupported("set_config is supported only with is_local = true")
	}
	if s.token(0).kind != tokenWord {
		return Statement{Kind: Write}
	}
	switch strings.ToUpper(s.token(0).text) {
	case "SELECT", "TABLE", "VALUES":
		return s.classifySelect()
	case "WITH":
		if s.modifies {
			return Statement{Kind: Write}
		}
		return s.classifySelect()
	case "EXPLAIN":
		return readOrWrite(!s.analyze)
	case "SHOW":
		return s.classifyShow()
	case "BEGIN":
		return s.classifyBegin()
	case "START":
		if s.token(1).isKeyword("TRANSACTION") {
			return s.classifyBegin()
		}
		return Statement{Kind: Write}
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return s.classifyEnd()
	case "SET":
		return s.classifySet()
	case "RESET":
		return s.classifyReset()
	}
	return s.classifyOther()
}

func readOrWrite(isRead bool) Statement {
	if isRead {
		return Statement{Kind: Read}
	}
	return Statement{Kind: Write}
}

func (s *scanResult) classifySelect() Statement {
	if s.intoTemp {
		return unsupported("temporary tables are not supported")
	}
	return readOrWrite(!s.into && !s.rowLocks)
}

func (s *scanResult) classifyBegin() Statement {
	st := Statement{Kind: Begin, StartsBlock: true}
	serializable := false // PostgreSQL replicas don't support SERIALIZABLE
	for i := range s.head {
		if s.token(i).isKeyword("READ") && s.token(i+1).isKeyword("ONLY") {
			st.ReadOnly = true
		}
		serializable = serializable || s.token(i).isKeyword("SERIALIZABLE")
	}
	st.ReadOnly = st.ReadOnly && !serializable
	return st
}

func (s *scanResult) classifyEnd() Statement {
	for i := range s.head {
		if s.token(i).isKeyword("PREPARED") {
			return unsupported("two-phase commit is not supported")
		}
		if s.token(i).isKeyword("AND") && s.token(i+1).isKeyword("CHAIN") {
			return unsupported("AND CHAIN is not supported")
		}
	}
	if s.token(0).isKeyword("COMMIT") || s.token(0).isKeyword("END") {
		return Statement{Kind: Commit}
	}
	for i := range s.head {
		if s.token(i).isKeyword("TO") {
			return Statement{Kind: Write} // ROLLBACK TO a savepoint
		}
	}
	return Statement{Kind: Rollback}
}

// classifyOther classifies statements that have no other class: those that depend on session state
// are refused, as transaction pooling can't support them, and the rest are writes.
func (s *scanResult) classifyOther() Statement {
	switch strings.ToUpper(s.token(0).text) {
	case "LISTEN", "UNLISTEN":
		return unsupported("LISTEN and UNLISTEN are not supported")
	case "DISCARD":
		return unsupported("DISCARD is not supported")
	case "PREPARE":
		if s.token(1).isKeyword("TRANSACTION") {
			return unsupported("two-phase commit is not supported")
		}
		return unsupported("the SQL command PREPARE is not supported; use the extended query protocol")
	case "EXECUTE", "DEALLOCATE":
		return unsupported("the SQL commands EXECUTE and DEALLOCATE are not supported; use the extended query protocol")
	case "LOAD":
		return unsupported("LOAD is not supported")
	case "DECLARE":
		if s.withHold {
			return unsupported("cursors WITH HOLD are not supported")
		}
	case "CREATE":
		if s.createsTemporary() {
			return unsupported("temporary tables are not supported")
		}
	}
	return Statement{Kind: Write}
}

// createsTemporary reports whether a CREATE statement creates a temporary object, either by keyword or
// in the schema pg_temp.
func (s *scanResult) createsTemporary() bool {
	const lastWord = 4 // index of the keyword in CREATE OR REPLACE LOCAL TEMPORARY
	for i := 1; i <= lastWord; i++ {
		t := s.token(i)
		if t.isKeyword("TEMP") || t.isKeyword("TEMPORARY") {
			return true
		}
	}
	for _, t := range s.head {
		if t.isIdentifier("pg_temp") {
			return true
		}
	}
	return false
}

func unsupported(message string) Statement {
	err := verdict.New(verdict.NotRun, verdict.CodeNotSupported, "%s (transaction pooling)", message)
	return Statement{Kind: Unsupported, Err: err}
}
