package entry

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Codes in the first word of a startup packet.
const (
	protocolMajor  = 3
	sslRequest     = 80877103
	cancelRequest  = 80877102
	gssEncRequest  = 80877104
	maxNegotiation = 2 // one SSLRequest and one GSSENCRequest
)

const passwordMessage = 'p'

func protocolError(message string) error {
	return verdict.New(verdict.NotRun, verdict.CodeProtocol, "%s", message)
}

// startup brings a connection to its first ReadyForQuery. It returns nil without an error after a
// cancel request. On errors, a caller may be returned for its connection, which may have TLS.
func (s *Server) startup(nc net.Conn) (*caller, error) {
	c := &caller{srv: s, nc: nc}
	code, body, err := s.negotiate(c)
	if err != nil {
		return c, err
	}
	if code == cancelRequest {
		if len(body) == 8 {
			s.cancel(binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]))
		}
		return nil, nil
	}
	if _, isTLS := c.nc.(*tls.Conn); s.cfg.RequireTLS && !isTLS {
		return c, verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, "this host accepts TLS connections only")
	}
	params, err := parseParameters(code, body)
	if err != nil {
		return c, err
	}
	if err := c.identify(code, params); err != nil {
		return c, err
	}
	if err := c.applyParameters(params); err != nil {
		return c, err
	}
	return c, c.welcome()
}

// negotiate answers requests for encryption until the startup or cancel packet arrives.
func (s *Server) negotiate(c *caller) (code uint32, body []byte, err error) {
	for range maxNegotiation + 1 {
		code, body, err = readStartup(c.nc)
		if err != nil {
			return 0, nil, err
		}
		_, isTLS := c.nc.(*tls.Conn)
		switch {
		case code == sslRequest && s.cfg.TLS != nil && !isTLS:
			if _, err := c.nc.Write([]byte{'S'}); err != nil {
				return 0, nil, err
			}
			c.nc = tls.Server(c.nc, s.cfg.TLS)
		case code == sslRequest, code == gssEncRequest:
			if _, err := c.nc.Write([]byte{'N'}); err != nil {
				return 0, nil, err
			}
		default:
			return code, body, nil
		}
	}
	return 0, nil, protocolError("too many requests for encryption")
}

// readStartup reads one packet without a type byte. It reads no byte past it.
func readStartup(r io.Reader) (code uint32, body []byte, err error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < uint32(len(head)) || size > maxStartupBytes {
		return 0, nil, protocolError("startup packet has an invalid length")
	}
	body = make([]byte, size-uint32(len(head)))
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return binary.BigEndian.Uint32(head[4:]), body, nil
}

// parseParameters reads the names and values of a startup packet.
func parseParameters(code uint32, body []byte) (map[string]string, error) {
	if code>>16 != protocolMajor {
		return nil, protocolError("unsupported protocol version")
	}
	params := map[string]string{}
	for len(body) > 0 && body[0] != 0 {
		name, rest, ok := pgwire.CString(body)
		if !ok {
			return nil, protocolError("startup packet is cut")
		}
		value, rest, ok := pgwire.CString(rest)
		if !ok {
			return nil, protocolError("startup packet is cut")
		}
		params[string(name)] = string(value)
		body = rest
	}
	if len(body) != 1 {
		return nil, protocolError("startup packet lacks its terminator")
	}
	return params, nil
}

// identify finds the service and authenticates the team.
func (c *caller) identify(code uint32, params map[string]string) error {
	c.team = params["user"]
	c.service = params["database"]
	if c.service == "" {
		c.service = c.team
	}
	if err := c.negotiateVersion(code, params); err != nil {
		return err
	}
	snap := c.srv.cfg.Directory.Catalog()
	if c.team == catalog.OpenTeam && snap.IsOpen(c.service) {
		return c.enter(snap)
	}
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	if err := c.authenticate(snap); err != nil {
		return err
	}
	return c.enter(snap)
}

// enter creates the session. An unknown service is reported to authenticated callers only.
func (c *caller) enter(snap Snapshot) error {
	if _, ok := snap.Service(c.service); !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "service %q does not exist", c.service)
	}
	st, err := session.New(c.service)
	if err != nil {
		return err
	}
	c.st = st
	return nil
}

// negotiateVersion offers protocol 3.0 to callers that ask for a later minor version.
func (c *caller) negotiateVersion(code uint32, params map[string]string) error {
	var unknown []string
	for name := range params {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if code&0xffff == 0 && len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	msg := pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown}
	return c.sendMessages(&msg)
}

func (c *caller) sendMessages(msgs ...pgproto3.BackendMessage) error {
	var out []byte
	for _, m := range msgs {
		var err error
		if out, err = m.Encode(out); err != nil {
			return err
		}
	}
	_, err := c.nc.Write(out)
	return err
}

// authenticate runs the SCRAM exchange.
func (c *caller) authenticate(snap Snapshot) error {
	team, known := snap.Team(c.team)
	ex, err := c.srv.auth.Start(c.team, team, known)
	if err != nil {
		return err
	}
	if err := c.sendMessages(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}}); err != nil {
		return err
	}
	rd := pgwire.NewReaderSize(c.nc, maxAuthFrameBytes, authBufferBytes)
	first, err := readInitial(rd)
	if err != nil {
		return err
	}
	challenge, err := ex.First(first)
	if err != nil {
		return protocolError(err.Error())
	}
	if err := c.sendMessages(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	f, err := readPassword(rd)
	if err != nil {
		return err
	}
	reply, keyID, err := ex.Final(string(f.Body()))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidKey, "key of team %q refused", c.team)
	}
	if rd.Buffered() > 0 {
		return protocolError("request before the end of authentication")
	}
	c.keyID = keyID
	return c.sendMessages(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

func readPassword(rd *pgwire.Reader) (pgwire.Frame, error) {
	f, err := rd.Next()
	if errors.Is(err, pgwire.ErrFrameLength) {
		return nil, protocolError("message of invalid length during authentication")
	}
	if err != nil {
		return nil, err
	}
	if f.Type() != passwordMessage {
		return nil, protocolError("unexpected message during authentication")
	}
	return f, nil
}

func readInitial(rd *pgwire.Reader) (string, error) {
	f, err := readPassword(rd)
	if err != nil {
		return "", err
	}
	var msg pgproto3.SASLInitialResponse
	if err := msg.Decode(f.Body()); err != nil || msg.AuthMechanism != auth.Mechanism {
		return "", protocolError("SASL mechanism must be " + auth.Mechanism)
	}
	return string(msg.Data), nil
}

// applyParameters checks the startup parameters and applies those that citronrun knows.
func (c *caller) applyParameters(params map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(params)) {
		if err := c.applyParameter(name, params[name]); err != nil {
			return err
		}
	}
	return nil
}

func (c *caller) applyParameter(name, value string) error {
	lower := strings.ToLower(name)
	switch {
	case lower == "user", lower == "database", strings.HasPrefix(lower, "_pq_."):
		return nil
	case lower == "application_name":
		c.appName = value
		return nil
	case strings.HasPrefix(lower, "citron."):
		return c.st.ApplySetting(lower, value, false)
	case lower == "options" && strings.TrimSpace(value) == "":
		return nil
	case lower == "replication" && (value == "false" || value == "off" || value == "0"):
		return nil
	}
	used, ok := c.usedParameter(lower)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotSupported, "startup parameter %q is not supported", name)
	}
	return session.CheckDriverSetting(lower, value, used)
}

// usedParameter returns the value that targets use for a parameter, whose name is in lower case.
func (c *caller) usedParameter(name string) (string, bool) {
	if name == "application_name" {
		return c.appName, true
	}
	for k, v := range c.srv.cfg.Parameters {
		if strings.EqualFold(k, name) {
			return v, true
		}
	}
	return "", false
}

// welcome reports parameters and the first ReadyForQuery.
func (c *caller) welcome() error {
	c.prepare()
	out, err := (&pgproto3.AuthenticationOk{}).Encode(nil)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(c.srv.cfg.Parameters)) {
		out = pgwire.AppendParameterStatus(out, name, c.srv.cfg.Parameters[name])
	}
	out = pgwire.AppendParameterStatus(out, "application_name", c.appName)
	key := binary.BigEndian.AppendUint32(nil, c.id)
	key = binary.BigEndian.AppendUint32(key, c.secret)
	out = pgwire.Append(out, 'K', key)
	out = pgwire.AppendReadyForQuery(out, pgwire.TxIdle)
	if _, err := c.nc.Write(out); err != nil {
		c.srv.unregister(c)
		return err
	}
	return c.nc.SetDeadline(time.Time{})
}
