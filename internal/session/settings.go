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
	SettingToken      = "citron.token"       // session token (not a rate token): the floor and the observed reads
	SettingTimeout    = "citron.timeout"     // longest wait before a statement starts, as DURATION or milliseconds
)

const (
	citronPrefix       = "citron."
	maxRequestKeyBytes = 128
	maxTimeout         = time.Hour
)

func (s *scanResult) classifyShow() Statement {
	name, _ := s.settingName(1)
	if strings.HasPrefix(name, citronPrefix) {
		return Statement{Kind: Show, Name: name}
	}
	return Statement{Kind: Read}
}

func (s *scanResult) classifyReset() Statement {
	name, next := s.settingName(1)
	if strings.HasPrefix(name, citronPrefix) && next == len(s.head) {
		return Statement{Kind: Set, Name: name, Reset: true}
	}
	return unsupported("RESET is supported only for citron settings")
}

func (s *scanResult) classifySet() Statement {
	i := 1
	switch {
	case s.token(1).isKeyword("LOCAL"), s.token(1).isKeyword("TRANSACTION"), s.token(1).isKeyword("CONSTRAINTS"):
		return Statement{Kind: Write}
	case s.token(1).isKeyword("SESSION"):
		i = 2
	}
	switch {
	case s.token(i).isKeyword("TIME") && s.token(i+1).isKeyword("ZONE"):
		return s.setStatement("timezone", i+2)
	case s.token(i).isKeyword("NAMES"):
		return s.setStatement("client_encoding", i+1)
	case s.token(i).isKeyword("ROLE"), s.token(i).isKeyword("CHARACTERISTICS"), s.token(i).isKeyword("AUTHORIZATION"):
		return unsupported("SET " + strings.ToUpper(s.token(i).text) + " is not supported")
	}
	name, i := s.settingName(i)
	if s.token(i).text != "=" && !s.token(i).isKeyword("TO") {
		return Statement{Kind: Write} // malformed; the target reports the error
	}
	return s.setStatement(name, i+1)
}

// setStatement classifies a SET of the named setting, whose value starts at token i.
func (s *scanResult) setStatement(name string, i int) Statement {
	if !strings.HasPrefix(name, citronPrefix) && !driverSetting(name) {
		return unsupported("SET " + name + " for a session is not supported; use SET LOCAL")
	}
	if s.token(i).isKeyword("DEFAULT") {
		return Statement{Kind: Set, Name: name, Reset: true}
	}
	if len(s.head) >= headTokens {
		return unsupported(fmt.Sprintf("SET %s is too long: the statement may have at most %d tokens", name, headTokens-1))
	}
	var value strings.Builder
	for ; i < len(s.head); i++ {
		value.WriteString(s.token(i).text)
	}
	return Statement{Kind: Set, Name: name, Value: value.String()}
}

// settingName reads a setting's name, which may contain dots, from token i on. It returns the name in
// lower case and the index of the token after it.
func (s *scanResult) settingName(i int) (name string, next int) {
	for {
		name += strings.ToLower(s.token(i).text)
		i++
		if s.token(i).text != "." {
			return name, i
		}
		name += "."
		i++
	}
}

// driverSetting reports whether drivers set the parameter when they connect. A SET of such a parameter is
// accepted if it has no effect.
func driverSetting(name string) bool {
	switch name {
	case "client_encoding", "datestyle", "timezone", "extra_float_digits", "application_name",
		"standard_conforming_strings", "search_path", "statement_timeout":
		return true
	}
	return false
}

// CheckDriverSetting returns an error with SQLSTATE 0A000 unless value has the same effect as inEffect, the
// value that connections to targets use. name is in lower case. The error doesn't quote value: errors are
// logged, and the data of statements doesn't appear in logs.
func CheckDriverSetting(name, value, inEffect string) error {
	if sameSetting(name, value, inEffect) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotSupported,
		"%s can't be changed for a session: connections to targets use %q; use SET LOCAL to change it in a transaction",
		name, inEffect)
}

func sameSetting(name, value, inEffect string) bool {
	value, inEffect = normalize(value), normalize(inEffect)
	if value == inEffect {
		return true
	}
	switch name {
	case "client_encoding":
		return normalizeEncoding(value) == normalizeEncoding(inEffect)
	case "datestyle":
		return containsParts(value, inEffect)
	case "timezone":
		return normalizeZone(value) == normalizeZone(inEffect)
	case "extra_float_digits":
		return shortestFloats(value) && shortestFloats(inEffect)
	case "standard_conforming_strings":
		return normalizeBool(value) == normalizeBool(inEffect)
	}
	return false
}

// normalize removes spaces and letter case, so that equivalent spellings compare equal.
func normalize(s string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimSpace(s), " ", ""))
}

func normalizeEncoding(s string) string {
	s = strings.NewReplacer("-", "", "_", "").Replace(s)
	if s == "unicode" {
		return "utf8"
	}
	return s
}

// containsParts reports whether each part of the date style value occurs in the style inEffect.
func containsParts(value, inEffect string) bool {
	for _, part := range strings.Split(value, ",") {
		if !strings.Contains(","+inEffect+",", ","+part+",") {
			return false
		}
	}
	return true
}

// normalizeZone maps all names of UTC to one.
func normalizeZone(s string) string {
	switch s {
	case "utc", "etc/utc", "gmt", "etc/gmt", "z", "0", "+00", "+00:00":
		return "utc"
	}
	return s
}

// shortestFloats reports whether a value of extra_float_digits makes the server write floats in the
// shortest exact form. Since PostgreSQL 12 all values above 0 do.
func shortestFloats(s string) bool {
	n, err := strconv.Atoi(s)
	return err == nil && n > 0
}

func normalizeBool(s string) string {
	switch s {
	case "on", "true", "yes", "1":
		return "on"
	}
	return s
}

// ReadOverride is the read mode that a session has set with citron.read.
type ReadOverride struct {
	Set    bool // false: the read mode of the policy applies
	Mode   wire.ReadMode
	MaxAge time.Duration
}

// ParseRead parses a value of citron.read.
func ParseRead(value string) (ReadOverride, error) {
	switch v := normalize(value); {
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
	return ReadOverride{}, invalidSetting(SettingRead, "session, current or max_age=DURATION with a duration above 0")
}

func parseTimeout(value string) (time.Duration, error) {
	v := normalize(value)
	d, err := time.ParseDuration(v)
	if ms, numErr := strconv.Atoi(v); numErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, invalidSetting(SettingTimeout, "a duration such as 1.5s, or a number of milliseconds, above 0 and up to 1h")
	}
	return d, nil
}

// invalidSetting returns an error that says what the setting must be. Like the error of CheckDriverSetting, it
// must not quote the value that the caller sent.
func invalidSetting(name, format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "%s must be "+format, append([]any{name}, args...)...)
}

// ApplySetting changes a citron setting, or with reset sets citron.read or citron.timeout to its default. An
// empty value clears the request key and has no effect on the token.
func (s *Session) ApplySetting(name, value string, reset bool) error {
	switch name {
	case SettingRead:
		return s.applyRead(value, reset)
	case SettingTimeout:
		return s.applyTimeout(value, reset)
	case SettingRequestKey:
		if len(value) > maxRequestKeyBytes {
			return invalidSetting(name, "at most %d bytes long, not %d", maxRequestKeyBytes, len(value))
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
		s.readOverride = ReadOverride{}
		return nil
	}
	override, err := ParseRead(value)
	if err == nil {
		s.readOverride = override
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

// applyToken raises the floor to that of the token. A token never lowers it, so that reads of a session
// never go back in time.
func (s *Session) applyToken(value string) error {
	if value == "" {
		return nil
	}
	floor, fromToken, err := position.ParseTokenWithReads(s.service, value)
	if err != nil {
		return invalidSetting(SettingToken, "a session token of service %q", s.service)
	}
	observed := s.observedReads
	for _, read := range fromToken {
		observed = position.AddObservedRead(observed, read)
	}
	if len(observed) > position.MaxObservedReads {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidParameter,
			"%s can't be set again yet: the tokens set so far name %d reads, the limit is %d; run a statement first",
			SettingToken, len(observed), position.MaxObservedReads)
	}
	s.floor, s.observedReads = s.floor.Max(floor), observed
	s.hasFloor = true
	return nil
}

// SettingValue returns the value of a citron setting as SHOW prints it.
func (s *Session) SettingValue(name string) (string, error) {
	switch name {
	case SettingRead:
		return s.readModeText(), nil
	case SettingTimeout:
		return s.timeout.String(), nil
	case SettingRequestKey:
		return s.requestKey, nil
	case SettingToken:
		if !s.hasFloor {
			return "", nil
		}
		return position.TokenWithReads(s.service, s.floor, s.observedReads), nil
	}
	return "", verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "unknown setting %q", name)
}

func (s *Session) readModeText() string {
	switch {
	case !s.readOverride.Set:
		return "default"
	case s.readOverride.Mode == wire.ReadCurrent:
		return "current"
	case s.readOverride.Mode == wire.ReadMaxAge:
		return "max_age=" + s.readOverride.MaxAge.String()
	}
	return "session"
}
