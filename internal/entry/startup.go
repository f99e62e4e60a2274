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

// Request codes in the first word of a startup packet.
const (
	cancelRequest = 80877102
	sslRequest    = 80877103
	gssEncRequest = 80877104
)

const (
	protocolMajor         = 3
	maxEncryptionRequests = 2 // one SSLRequest and one GSSENCRequest
)

// passwordMessage is the type of SASLInitialResponse and SASLResponse too.
const passwordMessage = 'p'

func protocolError(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeProtocol, format, args...)
}

// startup handles a connection up to its first ReadyForQuery. After a cancel request it returns
// neither a caller nor an error. With an error it also returns the caller, if there is one: the error must
// be reported on the caller's connection, which may use TLS.
func (s *Server) startup(nc net.Conn) (*caller, error) {
	c := &caller{srv: s, nc: nc}
	code, body, err := s.negotiateEncryption(c)
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
	return c, c.sendStartupResponse()
}

// negotiateEncryption answers SSLRequest and GSSENCRequest and returns the startup or cancel packet
// that follows.
func (s *Server) negotiateEncryption(c *caller) (code uint32, body []byte, err error) {
	for range maxEncryptionRequests + 1 {
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
	return 0, nil, protocolError("more than %d requests for encryption", maxEncryptionRequests)
}

// readStartup reads one packet without a type byte. Its code is a request code or the protocol version. It
// doesn't read ahead: the next bytes may belong to a TLS handshake.
func readStartup(r io.Reader) (code uint32, body []byte, err error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < uint32(len(head)) || size > maxStartupBytes {
		return 0, nil, protocolError("startup packet has length %d, expected %d to %d", size, len(head), maxStartupBytes)
	}
	body = make([]byte, size-uint32(len(head)))
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return binary.BigEndian.Uint32(head[4:]), body, nil
}

// parseParameters decodes the parameters in the body of a startup packet with the given protocol
// version.
func parseParameters(version uint32, body []byte) (map[string]string, error) {
	if version>>16 != protocolMajor {
		return nil, protocolError("unsupported protocol version %d.%d, expected %d.x", version>>16, version&0xffff, protocolMajor)
	}
	params := map[string]string{}
	for len(body) > 0 && body[0] != 0 {
		name, rest, ok := pgwire.CString(body)
		if !ok {
			return nil, protocolError("startup packet is truncated in a parameter name")
		}
		value, rest, ok := pgwire.CString(rest)
		if !ok {
			return nil, protocolError("startup packet is truncated in the value of parameter %q", name)
		}
		params[string(name)] = string(value)
		body = rest
	}
	if len(body) != 1 {
		return nil, protocolError("startup packet does not end with its terminator")
	}
	return params, nil
}

// identify sets the team and the service, authenticates the team unless the service accepts callers
// without a key, and creates the session.
func (c *caller) identify(version uint32, params map[string]string) error {
	c.team = params["user"]
	c.service = params["database"]
	if c.service == "" {
		c.service = c.team
	}
	if err := c.negotiateProtocolVersion(version, params); err != nil {
		return err
	}
	snap := c.srv.cfg.Directory.Catalog()
	if c.team == catalog.OpenTeam && snap.IsOpen(c.service) {
		return c.createSession(snap)
	}
	if err := c.checkConfirmedAge(); err != nil {
		return err
	}
	if err := c.authenticate(snap); err != nil {
		return err
	}
	return c.createSession(snap)
}

// createSession creates the session if the service exists. It runs after authentication, so that
// other callers can't find out which services exist.
func (c *caller) createSession(snap Snapshot) error {
	if _, ok := snap.Service(c.service); !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "service %q does not exist", c.service)
	}
	sess, err := session.New(c.service)
	if err != nil {
		return err
	}
	c.sess = sess
	return nil
}

// negotiateProtocolVersion offers protocol 3.0 without options to callers that request a later minor
// version or protocol options.
func (c *caller) negotiateProtocolVersion(version uint32, params map[string]string) error {
	var unknown []string
	for name := range params {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if minor := version & 0xffff; minor == 0 && len(unknown) == 0 {
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

// authenticate runs the SCRAM exchange and sets keyID.
func (c *caller) authenticate(snap Snapshot) error {
	team, known := snap.Team(c.team)
	exchange, err := c.srv.auth.Start(c.team, team, known)
	if err != nil {
		return err
	}
	if err := c.sendMessages(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}}); err != nil {
		return err
	}
	rd := pgwire.NewReaderSize(c.nc, maxAuthFrameBytes, authBufferBytes)
	initial, err := readSASLInitialResponse(rd)
	if err != nil {
		return err
	}
	challenge, err := exchange.First(initial)
	if err != nil {
		return protocolError("%s", err.Error())
	}
	if err := c.sendMessages(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	f, err := readPasswordMessage(rd)
	if err != nil {
		return err
	}
	reply, keyID, err := exchange.Final(string(f.Body()))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidKey, "key authentication failed for team %q", c.team)
	}
	if rd.Buffered() > 0 {
		return protocolError("%d bytes received before the end of authentication", rd.Buffered())
	}
	c.keyID = keyID
	return c.sendMessages(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

func readPasswordMessage(rd *pgwire.Reader) (pgwire.Frame, error) {
	f, err := rd.Next()
	if errors.Is(err, pgwire.ErrFrameLength) {
		return nil, protocolError("invalid message length during authentication (limit %d bytes)", maxAuthFrameBytes)
	}
	if err != nil {
		return nil, err
	}
	if f.Type() != passwordMessage {
		return nil, protocolError("unexpected message %q during authentication, expected %q", f.Type(), passwordMessage)
	}
	return f, nil
}

func readSASLInitialResponse(rd *pgwire.Reader) (string, error) {
	f, err := readPasswordMessage(rd)
	if err != nil {
		return "", err
	}
	var msg pgproto3.SASLInitialResponse
	if err := msg.Decode(f.Body()); err != nil || msg.AuthMechanism != auth.Mechanism {
		return "", protocolError("malformed SASL response or unsupported mechanism; the mechanism must be %s", auth.Mechanism)
	}
	return string(msg.Data), nil
}

// applyParameters applies the startup parameters in the order of their names. It refuses one that is
// unknown or differs from the value that targets use.
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
		return c.sess.ApplySetting(lower, value, false)
	case lower == "options" && strings.TrimSpace(value) == "":
		return nil
	case lower == "replication" && (value == "false" || value == "off" || value == "0"):
		return nil
	}
	targetValue, ok := c.targetParameter(lower)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotSupported, "startup parameter %q is not supported", name)
	}
	return session.CheckDriverSetting(lower, value, targetValue)
}

// targetParameter returns the value that targets use for a parameter. The name is in lower case.
func (c *caller) targetParameter(name string) (string, bool) {
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

// sendStartupResponse activates the caller and sends AuthenticationOk, the parameters, BackendKeyData
// and the first ReadyForQuery.
func (c *caller) sendStartupResponse() error {
	c.activate()
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
