package session

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Names of the settings that a caller may change.
const (
	SettingRead       = "citron.read"        // session, current or max_age=DURATION
	SettingRequestKey = "citron.request_key" // makes the next write idempotent
	SettingToken      = "citron.token"       // floor of the session
	SettingTimeout    = "citron.timeout"     // time to start running, as DURATION or milliseconds
)

const (
	citronPrefix       = "citron."
	maxRequestKeyBytes = 128
	maxTimeout         = time.Hour
)

func (s *scanned) classifyShow() Statement {
	name, _ := s.settingName(1)
	if strings.HasPrefix(name, citronPrefix) {
		return Statement{Kind: Show, Name: name}
	}
	return Statement{Kind: Read}
}

func (s *scanned) classifyReset() Statement {
	name, next := s.settingName(1)
	if strings.HasPrefix(name, citronPrefix) && next == len(s.head) {
		return Statement{Kind: Set, Name: name, Reset: true}
	}
	return refused("RESET is supported for citron settings only")
}

func (s *scanned) classifySet() Statement {
	i := 1
	switch {
	case s.at(1).is("LOCAL"), s.at(1).is("TRANSACTION"), s.at(1).is("CONSTRAINTS"):
		return Statement{Kind: Write}
	case s.at(1).is("SESSION"):
		i = 2
	}
	switch {
	case s.at(i).is("TIME") && s.at(i+1).is("ZONE"):
		return s.setStatement("timezone", i+2)
	case s.at(i).is("NAMES"):
		return s.setStatement("client_encoding", i+1)
	case s.at(i).is("ROLE"), s.at(i).is("CHARACTERISTICS"), s.at(i).is("AUTHORIZATION"):
		return refused("SET " + strings.ToUpper(s.at(i).text) + " is not supported")
	}
	name, i := s.settingName(i)
	if s.at(i).text != "=" && !s.at(i).is("TO") {
		return Statement{Kind: Write} // malformed: the target says how
	}
	return s.setStatement(name, i+1)
}

func (s *scanned) setStatement(name string, i int) Statement {
	if !strings.HasPrefix(name, citronPrefix) && !driverSetting(name) {
		return refused("SET of " + name + " for a session is not supported; use SET LOCAL")
	}
	if s.at(i).is("DEFAULT") {
		return Statement{Kind: Set, Name: name, Reset: true}
	}
	if len(s.head) >= headTokens {
		return refused("SET of " + name + " has too many values")
	}
	var value strings.Builder
	for ; i < len(s.head); i++ {
		value.WriteString(s.at(i).text)
	}
	return Statement{Kind: Set, Name: name, Value: value.String()}
}

// settingName reads a name that may have dots, starting at token i. It returns the next token's index.
func (s *scanned) settingName(i int) (name string, next int) {
	for {
		name += strings.ToLower(s.at(i).text)
		i++
		if s.at(i).text != "." {
			return name, i
		}
		name += "."
		i++
	}
}

// driverSetting reports whether drivers set the parameter at connect, so that a SET that changes
// nothing is accepted.
func driverSetting(name string) bool {
	switch name {
	case "client_encoding", "datestyle", "timezone", "extra_float_digits", "application_name",
		"standard_conforming_strings", "search_path", "statement_timeout":
		return true
	}
	return false
}

// CheckDriverSetting returns an error with SQLSTATE 0A000 unless value has the same effect as the
// value that targets use. Name is in lower case.
func CheckDriverSetting(name, value, used string) error {
	if sameSetting(name, value, used) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotSupported,
		"%s can't be changed for a session; targets use %q, and SET LOCAL changes it for a transaction", name, used)
}

func sameSetting(name, value, used string) bool {
	value, used = plain(value), plain(used)
	if value == used {
		return true
	}
	switch name {
	case "client_encoding":
		return encoding(value) == encoding(used)
	case "datestyle":
		return contained(value, used)
	case "timezone":
		return zone(value) == zone(used)
	case "extra_float_digits":
		return shortestFloats(value) && shortestFloats(used)
	case "standard_conforming_strings":
		return truth(value) == truth(used)
	}
	return false
}

func plain(s string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimSpace(s), " ", ""))
}

func encoding(s string) string {
	s = strings.NewReplacer("-", "", "_", "").Replace(s)
	if s == "unicode" {
		return "utf8"
	}
	return s
}

// contained reports whether each part of a date style is one of the style in use.
func contained(value, used string) bool {
	for _, part := range strings.Split(value, ",") {
		if !strings.Contains(","+used+",", ","+part+",") {
			return false
		}
	}
	return true
}

func zone(s string) string {
	switch s {
	case "utc", "etc/utc", "gmt", "etc/gmt", "z", "0", "+00", "+00:00":
		return "utc"
	}
	return s
}

// shortestFloats reports whether floats are written in the shortest exact form, as all values above
// 0 do since PostgreSQL 12.
func shortestFloats(s string) bool {
	n, err := strconv.Atoi(s)
	return err == nil && n > 0
}

func truth(s string) string {
	switch s {
	case "on", "true", "yes", "1":
		return "on"
	}
	return s
}

// ReadOverride is a session's own read mode.
type ReadOverride struct {
	Set    bool // false: the policy's rule counts
	Mode   wire.ReadMode
	MaxAge time.Duration
}

// ParseRead reads a value of citron.read.
func ParseRead(value string) (ReadOverride, error) {
	switch v := plain(value); {
	case v == "session":
		return ReadOverride{Set: true, Mode: wire.ReadSession}, nil
	case v == "current":
		return ReadOverride{Set: true, Mode: wire.ReadCurrent}, nil
	case strings.HasPrefix(v, "max_age="):
		age, err := time.ParseDuration(strings.TrimPrefix(v, "max_age="))
		if err == nil && age > 0 {
			return ReadOverride{Set: true, Mode: wire.ReadMaxAge, MaxAge: age}, nil
		}
	}
	return ReadOverride{}, invalid(SettingRead, "session, current or max_age=DURATION")
}

func parseTimeout(value string) (time.Duration, error) {
	v := plain(value)
	d, err := time.ParseDuration(v)
	if ms, numErr := strconv.Atoi(v); numErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, invalid(SettingTimeout, "a duration above 0 and up to 1h")
	}
	return d, nil
}

func invalid(name, want string) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "%s must be %s", name, want)
}

// ApplySetting changes a citron setting. An empty value of the request key or token clears it.
func (s *Session) ApplySetting(name, value string, reset bool) error {
	switch name {
	case SettingRead:
		return s.applyRead(value, reset)
	case SettingTimeout:
		return s.applyTimeout(value, reset)
	case SettingRequestKey:
		if len(value) > maxRequestKeyBytes {
			return invalid(name, fmt.Sprintf("at most %d bytes long", maxRequestKeyBytes))
		}
		s.requestKey = value
		return nil
	case SettingToken:
		return s.applyToken(value)
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "unknown setting %q", name)
}

func (s *Session) applyRead(value string, reset bool) error {
	if reset {
		s.read = ReadOverride{}
		return nil
	}
	choice, err := ParseRead(value)
	if err == nil {
		s.read = choice
	}
	return err
}

func (s *Session) applyTimeout(value string, reset bool) error {
	if reset {
		s.timeout = 0
		return nil
	}
	d, err := parseTimeout(value)
	if err == nil {
		s.timeout = d
	}
	return err
}

// applyToken raises the floor. A token can't lower it: reads of a session never go back.
func (s *Session) applyToken(value string) error {
	if value == "" {
		return nil
	}
	p, added, err := position.ParseTokenWithReads(s.service, value)
	if err != nil {
		return invalid(SettingToken, "a session token of this service")
	}
	seen := s.seen
	for _, x := range added {
		seen = position.AddObservedRead(seen, x)
	}
	if len(seen) > position.MaxObservedReads {
		return invalid(SettingToken, "followed by a statement before more tokens are set")
	}
	s.floor, s.seen = s.floor.Max(p), seen
	s.hasFloor = true
	return nil
}

// SettingValue returns the text of a citron setting, for SHOW.
func (s *Session) SettingValue(name string) (string, error) {
	switch name {
	case SettingRead:
		return s.readText(), nil
	case SettingTimeout:
		return s.timeout.String(), nil
	case SettingRequestKey:
		return s.requestKey, nil
	case SettingToken:
		if !s.hasFloor {
			return "", nil
		}
		return position.TokenWithReads(s.service, s.floor, s.seen), nil
	}
	return "", verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "unknown setting %q", name)
}

func (s *Session) readText() string {
	switch {
	case !s.read.Set:
		return "default"
	case s.read.Mode == wire.ReadCurrent:
		return "current"
	case s.read.Mode == wire.ReadMaxAge:
		return "max_age=" + s.read.MaxAge.String()
	}
	return "session"
}
