package gateway

import (
	"maps"
	"strings"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	// StateEntryBytes is what a setting or prepared statement takes in memory besides its texts: headers of strings, its
	// part of a map that may be half empty, and the rounding of allocations.
	StateEntryBytes = 192
	// maxSettings bounds the settings of a session: each statement carries all of them, and each connection to a target
	// has them too.
	maxSettings = 1024
)

// StateBytes returns the memory that the session's settings and prepared statements take.
func (s *Session) StateBytes() int64 { return s.stateBytes }

func entryBytes(name, text string) int64 { return int64(len(name)+len(text)) + StateEntryBytes }

// set sets a setting of the session.
func (s *Session) set(name, value string) error {
	old, exists := s.settings[name]
	if !exists && len(s.settings) >= maxSettings {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "the session has %d settings, the most that it may have", maxSettings)
	}
	if exists {
		s.stateBytes -= entryBytes(name, old)
	}
	settings := maps.Clone(s.settings)
	if settings == nil {
		settings = map[string]string{}
	}
	settings[strings.Clone(name)] = strings.Clone(value) // name and value are parts of a message
	s.settings = settings
	s.stateBytes += entryBytes(name, value)
	return nil
}

// prepare adds a prepared statement, or replaces the one of the same name.
func (s *Session) prepare(name string, definition statement.Definition) {
	s.deallocate(name)
	definition.Body = strings.Clone(definition.Body) // part of a message
	s.prepared[strings.Clone(name)] = definition
	s.stateBytes += entryBytes(name, definition.Body)
}

// deallocate removes a prepared statement, if there is one of the name.
func (s *Session) deallocate(name string) {
	if old, exists := s.prepared[name]; exists {
		s.stateBytes -= entryBytes(name, old.Body)
		delete(s.prepared, name)
	}
}
