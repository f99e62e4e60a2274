package standin

import (
	"strconv"
	"strings"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted // "identifier"
	tokenString
	tokenNumber
	tokenParam // $n, the text is n
	tokenSymbol
)

type token struct {
	kind   tokenKind
	text   string // words are in lower case; quotes are removed
	offset int    // byte offset in the statement
}

// lex splits SQL into tokens, without comments. The last token is a tokenEnd.
func lex(sql string) ([]token, error) {
	var out []token
	for i := 0; ; {
		i = skipSpace(sql, i)
		if i >= len(sql) {
			return append(out, token{kind: tokenEnd, offset: i}), nil
		}
		t, next, err := lexToken(sql, i)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
		i = next
	}
}

// skipSpace returns the offset of the next token at or after offset i.
func skipSpace(sql string, i int) int {
	for i < len(sql) {
		switch {
		case sql[i] == ' ' || sql[i] == '\t' || sql[i] == '\n' || sql[i] == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return len(sql)
			}
			i += end + 1
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return len(sql)
			}
			i += end + 4
		default:
			return i
		}
	}
	return i
}

// lexToken returns the token at offset i and the offset after it.
func lexToken(sql string, i int) (token, int, error) {
	c := sql[i]
	switch {
	case isLetter(c):
		end := scanWhile(sql, i, func(b byte) bool { return isLetter(b) || isDigit(b) })
		return token{tokenWord, strings.ToLower(sql[i:end]), i}, end, nil
	case isDigit(c):
		end := scanWhile(sql, i, func(b byte) bool { return isDigit(b) || b == '.' })
		return token{tokenNumber, sql[i:end], i}, end, nil
	case c == '$':
		end := scanWhile(sql, i+1, isDigit)
		if n, err := strconv.Atoi(sql[i+1 : end]); err != nil || n < 1 || n > maxParams {
			return token{}, 0, syntaxError(sql, i)
		}
		return token{tokenParam, sql[i+1 : end], i}, end, nil
	case c == '\'':
		return lexQuoted(sql, i, tokenString)
	case c == '"':
		return lexQuoted(sql, i, tokenQuoted)
	case strings.HasPrefix(sql[i:], "::"):
		return token{tokenSymbol, "::", i}, i + 2, nil
	case strings.IndexByte("(),;=*.-+", c) >= 0:
		return token{tokenSymbol, sql[i : i+1], i}, i + 1, nil
	}
	return token{}, 0, syntaxError(sql, i)
}

// lexQuoted lexes a string or a quoted identifier, in which a doubled quote stands for one.
func lexQuoted(sql string, i int, kind tokenKind) (token, int, error) {
	quote := sql[i]
	var b strings.Builder
	for j := i + 1; j < len(sql); j++ {
		if sql[j] != quote {
			b.WriteByte(sql[j])
			continue
		}
		if j+1 < len(sql) && sql[j+1] == quote {
			b.WriteByte(quote)
			j++
			continue
		}
		return token{kind, b.String(), i}, j + 1, nil
	}
	return token{}, 0, syntaxError(sql, i)
}

// scanWhile returns the offset of the first byte at or after i that is not ok.
func scanWhile(s string, i int, ok func(byte) bool) int {
	for i < len(s) && ok(s[i]) {
		i++
	}
	return i
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func syntaxError(sql string, offset int) error {
	near := sql[min(offset, len(sql)):]
	if len(near) > 20 {
		near = near[:20]
	}
	return sqlError(codeSyntax, "syntax error at or near %q", near)
}
