package holder

import (
	"crypto/sha256"

	"github.com/citronrun/citronrun/internal/statement"
)

const (
	// maxKeptText bounds the texts of settings and prepared statements that a connection keeps as they are.
	maxKeptText = 64
	// digestPrefix can't begin a text of a caller, as messages contain no NUL.
	digestPrefix = "\x00"
)

// keptText returns what a connection keeps of a text: a digest in place of a long one.
func keptText(s string) string {
	if len(s) <= maxKeptText {
		return s
	}
	h := sha256.New()
	var buf [512]byte // a text of 1 MiB is not copied as a whole
	for s != "" {
		n := copy(buf[:], s)
		h.Write(buf[:n])
		s = s[n:]
	}
	return digestPrefix + string(h.Sum(nil))
}

// keptDefinition returns what a connection keeps of a prepared statement.
func keptDefinition(d statement.Definition) statement.Definition {
	return statement.Definition{Kind: d.Kind, Body: keptText(d.Body)}
}

// keptSettings returns what a connection keeps of settings. It may return settings itself, which is never modified.
func keptSettings(settings map[string]string) map[string]string {
	short := true
	for name, value := range settings {
		short = short && len(name) <= maxKeptText && len(value) <= maxKeptText
	}
	if short {
		return settings
	}
	kept := make(map[string]string, len(settings))
	for name, value := range settings {
		kept[keptText(name)] = keptText(value)
	}
	return kept
}
