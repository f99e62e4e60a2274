package holder

import "github.com/citronrun/citronrun/internal/statement"

const (
	// maxKeptText bounds the names and values of settings that a connection keeps as they are.
	maxKeptText = 64
	// digestPrefix can't begin a name or value, as messages contain no NUL.
	digestPrefix = "\x00"
)

// keptText returns what a connection keeps of the name or value of a setting: a digest in place of a long one.
func keptText(s string) string {
	if len(s) <= maxKeptText {
		return s
	}
	digest := statement.DigestText(s)
	return digestPrefix + string(digest[:])
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
