package session

import "strings"

type tokenKind uint8

const (
	tokenEnd              tokenKind = iota
	tokenWord                       // keyword, identifier or number
	tokenQuotedIdentifier           // text without its quotes
	tokenString                     // string constant, text without its quotes
	tokenSymbol                     // one other character
)

type token struct {
	kind tokenKind
	text string // of a word: as written, in any case
}

// isKeyword reports whether t is the given keyword, in any case and not quoted.
func (t token) isKeyword(keyword string) bool {
	return t.kind == tokenWord && len(t.text) == len(keyword) && strings.EqualFold(t.text, keyword)
}

// isIdentifier reports whether t is the given identifier, which is in lower case. An unquoted t matches in
// any case, a quoted one only exactly.
func (t token) isIdentifier(identifier string) bool {
	if t.kind == tokenQuotedIdentifier {
		return t.text == identifier
	}
	return t.kind == tokenWord && strings.EqualFold(t.text, identifier)
}

// lexer splits SQL into tokens. It skips comments and assumes that standard_conforming_strings is on. An
// unterminated quote or comment extends to the end of the text; targets reject such a statement.
type lexer struct {
	sql string
	pos int
}

// next returns the next token, of kind tokenEnd at the end of the text.
func (l *lexer) next() token {
	l.skipSpaceAndComments()
	if l.pos >= len(l.sql) {
		return token{}
	}
	c := l.sql[l.pos]
	switch {
	case c == '\'':
		return token{tokenString, l.quoted('\'', false)}
	case c == '"':
		return token{tokenQuotedIdentifier, l.quoted('"', false)}
	case c == '$':
		return l.dollar()
	case isWordByte(c):
		return l.word()
	}
	l.pos++
	return token{tokenSymbol, l.sql[l.pos-1 : l.pos]}
}

// skipSpaceAndComments skips white space and comments.
func (l *lexer) skipSpaceAndComments() {
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case strings.IndexByte(" \t\n\r\f\v", rest[0]) >= 0:
			l.pos++
		case strings.HasPrefix(rest, "--"):
			l.pos += lineLength(rest)
		case strings.HasPrefix(rest, "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

// lineLength returns the length of the first line of s, without its end.
func lineLength(s string) int {
	if n := strings.IndexAny(s, "\n\r"); n >= 0 {
		return n
	}
	return len(s)
}

// skipComment skips a block comment. Block comments may be nested.
func (l *lexer) skipComment() {
	depth := 0
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// quoted reads text up to the closing quote and returns it without the quotes. A doubled quote stands
// for one quote. With escapes set, a backslash escapes the next character; escapes are not decoded.
func (l *lexer) quoted(quote byte, escapes bool) string {
	l.pos++
	start := l.pos
	doubled := false
	for l.pos < len(l.sql) {
		c := l.sql[l.pos]
		l.pos++
		switch {
		case c == '\\' && escapes && l.pos < len(l.sql):
			l.pos++
		case c != quote:
		case l.pos < len(l.sql) && l.sql[l.pos] == quote:
			doubled = true
			l.pos++
		default:
			return collapseDoubledQuotes(l.sql[start:l.pos-1], quote, doubled)
		}
	}
	return collapseDoubledQuotes(l.sql[start:], quote, doubled)
}

// collapseDoubledQuotes replaces doubled quotes in s by single ones. doubled is false if s has none.
func collapseDoubledQuotes(s string, quote byte, doubled bool) string {
	if !doubled {
		return s
	}
	q := string(quote)
	return strings.ReplaceAll(s, q+q, q)
}

// dollar reads a dollar-quoted string, or only the dollar sign if it doesn't start one, as in $1.
func (l *lexer) dollar() token {
	end := l.pos + 1
	for end < len(l.sql) && isWordByte(l.sql[end]) {
		end++
	}
	isTag := end < len(l.sql) && l.sql[end] == '$' && (end == l.pos+1 || !isDigit(l.sql[l.pos+1]))
	if !isTag {
		l.pos++
		return token{tokenSymbol, "$"}
	}
	tag := l.sql[l.pos : end+1]
	body := l.sql[end+1:]
	n := strings.Index(body, tag)
	if n < 0 {
		l.pos = len(l.sql)
		return token{tokenString, body}
	}
	l.pos = end + 1 + n + len(tag)
	return token{tokenString, body[:n]}
}

// word reads a word, or a string constant or quoted identifier with a prefix (E, B, X, N, U&).
func (l *lexer) word() token {
	start := l.pos
	for l.pos < len(l.sql) && (isWordByte(l.sql[l.pos]) || l.sql[l.pos] == '$') {
		l.pos++
	}
	text := l.sql[start:l.pos]
	rest := l.sql[l.pos:]
	if strings.EqualFold(text, "U") && (strings.HasPrefix(rest, "&'") || strings.HasPrefix(rest, `&"`)) {
		l.pos++
		return l.prefixed(false)
	}
	if len(text) == 1 && strings.HasPrefix(rest, "'") && strings.ContainsAny(text, "eEbBxXnN") {
		return l.prefixed(text == "e" || text == "E")
	}
	return token{tokenWord, text}
}

// prefixed reads the quoted text after a prefix.
func (l *lexer) prefixed(escapes bool) token {
	if l.sql[l.pos] == '"' {
		return token{tokenQuotedIdentifier, l.quoted('"', false)}
	}
	return token{tokenString, l.quoted('\'', escapes)}
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
