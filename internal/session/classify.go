package session

import (
	"strings"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Kind says how a statement is handled.
type Kind uint8

// The kinds of statements. Write is the kind of everything that isn't known to be another one.
const (
	Write Kind = iota
	Read
	Empty
	Begin
	Commit
	Rollback
	Set         // of a citron setting, or one that drivers send at connect
	Show        // of a citron setting
	Unsupported // not supported in transaction pooling
)

// Statement is a classified request.
type Statement struct {
	Kind        Kind
	ReadOnly    bool           // Begin: the transaction is READ ONLY
	StartsBlock bool           // starts with BEGIN, also when more statements follow
	Name        string         // Set, Show: lower-case name of the setting
	Value       string         // Set: the value as text
	Reset       bool           // Set: back to the default
	Err         *verdict.Error // Refused
}

// headTokens is the number of tokens at the start of a statement that are kept.
const headTokens = 16

// scanned is what one pass over a single statement found.
type scanned struct {
	head     []token
	modifies bool // INSERT, UPDATE, DELETE or MERGE occurs
	into     bool
	intoTemp bool
	locks    bool // FOR UPDATE, FOR SHARE and their variants
	analyze  bool
	hold     bool // WITH HOLD
	advisory bool
	config   int // calls of set_config, minus those that are local to the transaction
}

// Classify looks at the leading keywords of a request, which may hold several statements. It never
// fails: what it doesn't know is a Write, and the target decides.
func Classify(sql string) Statement {
	l := lexer{sql: sql}
	all := Statement{Kind: Empty}
	for more := true; more; {
		var part Statement
		part, more = classifyNext(&l)
		switch {
		case part.Kind == Empty:
			continue
		case all.Kind == Empty:
			all = part
		default:
			all = combine(all, part)
		}
		if all.Kind == Unsupported {
			return all
		}
	}
	return all
}

// combine merges one more statement of a request. The request is a Read only if all are.
func combine(all, part Statement) Statement {
	if part.Kind == Unsupported {
		return part
	}
	if isSetting(all.Kind) || isSetting(part.Kind) {
		return refused("citron settings and session settings must be sent as a request of their own")
	}
	if all.Kind == Read && part.Kind == Read {
		return all
	}
	return Statement{Kind: Write, StartsBlock: all.StartsBlock}
}

func isSetting(k Kind) bool { return k == Set || k == Show }

// classifyNext classifies the statement up to the next semicolon. More is set if one was found.
func classifyNext(l *lexer) (st Statement, more bool) {
	var s scanned
	more = s.scan(l)
	if len(s.head) == 0 {
		return Statement{Kind: Empty}, more
	}
	return s.classify(), more
}

func (s *scanned) scan(l *lexer) (more bool) {
	var prev, before token
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
		s.note(before, prev, t)
		before, prev = prev, t
	}
}

// note updates the findings by a token t that follows the two tokens given before it.
func (s *scanned) note(before, prev, t token) {
	if t.kind == tokenSymbol {
		if t.text == ")" && prev.is("TRUE") && before.text == "," {
			s.config--
		}
		return
	}
	if t.kind == tokenString {
		return
	}
	switch {
	case t.is("INSERT"), t.is("UPDATE"), t.is("DELETE"), t.is("MERGE"):
		s.modifies = true
	case t.is("INTO"):
		s.into = true
	case t.is("ANALYZE"), t.is("ANALYSE"):
		s.analyze = true
	case t.names("set_config"):
		s.config++
	case isSessionLock(t):
		s.advisory = true
	}
	s.locks = s.locks || prev.is("FOR") && (t.is("UPDATE") || t.is("SHARE") || t.is("NO") || t.is("KEY"))
	s.hold = s.hold || prev.is("WITH") && t.is("HOLD")
	s.intoTemp = s.intoTemp || prev.is("INTO") && (t.is("TEMP") || t.is("TEMPORARY"))
}

func isSessionLock(t token) bool {
	const shortest = len("pg_advisory_lock")
	if len(t.text) < shortest || t.kind != tokenWord && t.kind != tokenQuoted {
		return false
	}
	name := strings.ToLower(t.text)
	isLock := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return isLock && !strings.Contains(name, "_xact_")
}

func (s *scanned) at(i int) token {
	if i < len(s.head) {
		return s.head[i]
	}
	return token{}
}

func (s *scanned) classify() Statement {
	if s.advisory {
		return refused("session advisory locks are not supported; use pg_advisory_xact_lock")
	}
	if s.config > 0 {
		return refused("set_config is supported with is_local = true only")
	}
	if s.at(0).kind != tokenWord {
		return Statement{Kind: Write}
	}
	switch strings.ToUpper(s.at(0).text) {
	case "SELECT", "TABLE", "VALUES":
		return s.classifySelect()
	case "WITH":
		if s.modifies {
			return Statement{Kind: Write}
		}
		return s.classifySelect()
	case "EXPLAIN":
		return readIf(!s.analyze)
	case "SHOW":
		return s.classifyShow()
	case "BEGIN":
		return s.classifyBegin()
	case "START":
		if s.at(1).is("TRANSACTION") {
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
	return s.classifyUnsupported()
}

func readIf(read bool) Statement {
	if read {
		return Statement{Kind: Read}
	}
	return Statement{Kind: Write}
}

func (s *scanned) classifySelect() Statement {
	if s.intoTemp {
		return refused("temporary tables are not supported")
	}
	return readIf(!s.into && !s.locks)
}

func (s *scanned) classifyBegin() Statement {
	st := Statement{Kind: Begin, StartsBlock: true}
	serializable := false // not available at replicas
	for i := range s.head {
		if s.at(i).is("READ") && s.at(i+1).is("ONLY") {
			st.ReadOnly = true
		}
		serializable = serializable || s.at(i).is("SERIALIZABLE")
	}
	st.ReadOnly = st.ReadOnly && !serializable
	return st
}

func (s *scanned) classifyEnd() Statement {
	for i := range s.head {
		if s.at(i).is("PREPARED") {
			return refused("two-phase commit is not supported")
		}
		if s.at(i).is("AND") && s.at(i+1).is("CHAIN") {
			return refused("AND CHAIN is not supported")
		}
	}
	if s.at(0).is("COMMIT") || s.at(0).is("END") {
		return Statement{Kind: Commit}
	}
	for i := range s.head {
		if s.at(i).is("TO") {
			return Statement{Kind: Write} // to a savepoint
		}
	}
	return Statement{Kind: Rollback}
}

func (s *scanned) classifyUnsupported() Statement {
	switch strings.ToUpper(s.at(0).text) {
	case "LISTEN", "UNLISTEN":
		return refused("LISTEN and UNLISTEN are not supported")
	case "DISCARD":
		return refused("DISCARD is not supported")
	case "PREPARE":
		if s.at(1).is("TRANSACTION") {
			return refused("two-phase commit is not supported")
		}
		return refused("PREPARE in SQL is not supported; prepare statements by protocol messages")
	case "EXECUTE", "DEALLOCATE":
		return refused("EXECUTE and DEALLOCATE in SQL are not supported; use protocol messages")
	case "LOAD":
		return refused("LOAD is not supported")
	case "DECLARE":
		if s.hold {
			return refused("cursors WITH HOLD are not supported")
		}
	case "CREATE":
		if s.createsTemporary() {
			return refused("temporary tables are not supported")
		}
	}
	return Statement{Kind: Write}
}

// createsTemporary looks at the words between CREATE and the object's name.
func (s *scanned) createsTemporary() bool {
	const lastWord = 4 // CREATE OR REPLACE LOCAL TEMPORARY
	for i := 1; i <= lastWord; i++ {
		t := s.at(i)
		if t.is("TEMP") || t.is("TEMPORARY") {
			return true
		}
	}
	for _, t := range s.head {
		if t.names("pg_temp") {
			return true
		}
	}
	return false
}

func refused(message string) Statement {
	err := verdict.New(verdict.NotRun, verdict.CodeNotSupported, "%s (transaction pooling)", message)
	return Statement{Kind: Unsupported, Err: err}
}
