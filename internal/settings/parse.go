package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is an error at a position in a settings file.
type Error struct {
	Line, Column int    // counted from 1
	Field        string // path such as limits.connections; empty for syntax errors
	Message      string
}

// Error formats the error as LINE:COLUMN: FIELD: MESSAGE.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Field, e.Message)
}

// Parse parses and checks settings. Errors are of type *Error.
func Parse(data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(err)
	}
	s := Defaults()
	if err := findUnknownField(data, &root, reflect.TypeOf(s), ""); err != nil {
		return nil, err
	}
	plain := root.Clone()
	plain.Standardize() // replaces comments and trailing commas by blanks, which keeps all offsets
	if err := json.Unmarshal(plain.Pack(), &s); err != nil {
		return nil, decodeError(data, &root, err)
	}
	if err := s.check(); err != nil {
		err.Line, err.Column = locate(data, &root, err.Field)
		return nil, err
	}
	return &s, nil
}

// syntaxError extracts line and column from hujson's message, "hujson: line L, column C: MESSAGE".
func syntaxError(err error) *Error {
	e := &Error{Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		e.Line, e.Column = line, column
		_, e.Message, _ = strings.Cut(e.Message, ": ")
	}
	return e
}

func decodeError(data []byte, root *hujson.Value, err error) *Error {
	e := &Error{Message: err.Error()}
	if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		e.Field = t.Field
		e.Message = fmt.Sprintf("is a JSON %s, want %s", t.Value, t.Type)
	}
	e.Line, e.Column = locate(data, root, e.Field)
	return e
}

// findUnknownField returns an error for the first object member that the type t doesn't have.
func findUnknownField(data []byte, v *hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() != reflect.Struct {
			return nil // json.Unmarshal reports the wrong type
		}
		return findUnknownMember(data, value, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range value.Elements {
			if err := findUnknownField(data, &value.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func findUnknownMember(data []byte, o *hujson.Object, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		line, column := lineColumn(data, m.Name.StartOffset)
		field, ok := fieldByTag(t, name)
		if !ok {
			return &Error{Line: line, Column: column, Field: join(path, name), Message: "unknown field"}
		}
		if seen[name] {
			return &Error{Line: line, Column: column, Field: join(path, name), Message: "duplicate field"}
		}
		seen[name] = true
		if err := findUnknownField(data, &m.Value, field.Type, join(path, name)); err != nil {
			return err
		}
	}
	return nil
}

func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("json") == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// locate returns the position of a field, or of its closest ancestor that is in the file.
func locate(data []byte, root *hujson.Value, field string) (line, column int) {
	at := root
	for _, name := range strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := at.Find("/" + name)
		if next == nil {
			break
		}
		at = next
	}
	return lineColumn(data, at.StartOffset)
}

func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
